package event

import (
	"fmt"
	"strings"
)

// Document returns the catalogue of all events as Markdown, ordered by number.
func Document() string {
	var page strings.Builder
	page.WriteString(documentHead)
	for _, e := range All() {
		fmt.Fprintf(&page, "| %d | %s | %s | %s |\n", e.Number, e.Level, e.Message, e.Meaning)
	}
	return page.String()
}

const documentHead = `# Log events

Every log line is a JSON object with the field ` + "`event`" + `, a number that never
changes its meaning. This page is written by ` + "`celeryport events`" + `; a test fails
when it differs from the code.

| event | level | message | meaning, and what to do |
| --- | --- | --- | --- |
`
