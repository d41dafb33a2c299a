package settings

import (
	"fmt"
	"strings"
)

const documentHead = `# Settings

This page is generated from the schema by ` + "`celeryport settings document`" + `; a test
fails if it is out of date. Settings are INI files of two kinds. ` + "`celeryport settings check FILE...`" + `
accepts both and prints every fault with its file, section, key and the allowed
values. A file with a fault is never applied, not even in part.

Examples are in examples/aretusa and examples/brazos.

`

const treeHead = `# The tree

One file for the whole fleet, applied with ` + "`celeryport settings apply`" + `. Names are
dotted paths: [organisation.atelier.siracusa] is a branch of
[organisation.atelier], which must exist. The optional sections [organisation],
[class] and [rule] hold the values that all branches inherit.

Callers' keys are stored only as hashes. To hash a key:

    celeryport settings hash-key < caller.key

`

const processHead = `# Process settings

One file per process, passed to ` + "`celeryport serve --settings FILE`" + `.

`

const votersText = `## [voters]

The initial members of the control group: one key per voter, NAME = host:port,
with its control address. The number of voters must be odd. A voter that lost
its disk must rejoin under a new name.

`

// Document returns the content of docs/SETTINGS.md.
func Document() string {
	var b strings.Builder
	b.WriteString(documentHead)
	b.WriteString(treeHead)
	documentSchema(&b, &organisationSchema)
	documentSchema(&b, &classSchema)
	documentSchema(&b, &ruleSchema)
	documentSchema(&b, &lengthSchema)
	documentSchema(&b, &modelSchema)
	documentSchema(&b, &serviceSchema)
	documentSchema(&b, &fleetSchema)
	b.WriteString(processHead)
	documentSchema(&b, &processSchema)
	documentSchema(&b, &listenSchema)
	documentSchema(&b, &controlSchema)
	b.WriteString(votersText)
	documentSchema(&b, &keysSchema)
	documentSchema(&b, &poolsSchema)
	documentSchema(&b, &limitsSchema)
	return strings.TrimSuffix(b.String(), "\n")
}

func documentSchema[T any](b *strings.Builder, s *schema[T]) {
	fmt.Fprintf(b, "## %s\n\n%s\n\n", s.title, s.help)
	b.WriteString("| Key | Default | Allowed | Meaning |\n|---|---|---|---|\n")
	for _, f := range s.fields {
		fmt.Fprintf(b, "| %s | %s | %s | %s |\n", f.name, f.displayDefault(), f.allowed, f.help)
	}
	b.WriteString("\n")
}

func (f field[T]) displayDefault() string {
	switch {
	case f.mandatory:
		return "must be given"
	case f.defaultText == "":
		return "none"
	}
	return f.defaultText
}
