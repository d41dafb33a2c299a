package settings

import (
	"fmt"
	"strings"
)

const documentHead = `# Settings

This page is generated from the schema by ` + "`celeryport settings document`" + `; a test
fails when it differs. Settings are INI files of two kinds. ` + "`celeryport settings check FILE...`" + `
takes either and prints every fault with its file, section, key and what is
allowed. A file with a fault is not applied, not even in part.

Examples are in examples/aretusa and examples/brazos.

`

const treeHead = `# The tree

One text for the whole fleet, applied by ` + "`celeryport settings apply`" + `. Names are
dotted paths: [organisation.atelier.siracusa] is a branch of
[organisation.atelier], which has to be there. Sections [organisation], [class]
and [rule] hold what all branches inherit and may be left out.

A caller's key stands here only as its hash. Make one with:

    celeryport settings hash-key < caller.key

`

const processHead = `# Process settings

One file for each process, given to ` + "`celeryport serve --settings FILE`" + `.

`

const votersText = `## [voters]

The control group at its first start: one key for each voter, NAME = host:port,
with the control address. The number of voters is odd. A voter that lost its
disk comes back under a new name.

`

// Document returns docs/SETTINGS.md.
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
		fmt.Fprintf(b, "| %s | %s | %s | %s |\n", f.name, f.shownDefault(), f.allowed, f.help)
	}
	b.WriteString("\n")
}

func (f field[T]) shownDefault() string {
	switch {
	case f.needed:
		return "must be given"
	case f.initial == "":
		return "none"
	}
	return f.initial
}
