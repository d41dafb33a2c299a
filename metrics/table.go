package metrics

import (
	"fmt"
	"strings"
)

// Table returns the table of all metrics in docs/METRICS.md.
func Table() string {
	var b strings.Builder
	b.WriteString("| Metric | Type | Labels | Meaning |\n|---|---|---|---|\n")
	for _, m := range all {
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", m.name, m.kindName(), strings.Join(m.labels, ", "), m.help)
	}
	return b.String()
}
