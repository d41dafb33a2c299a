package metrics

import (
	"fmt"
	"slices"
	"strings"
)

// Table returns the Markdown table of all metrics for docs/METRICS.md.
func Table() string {
	var b strings.Builder
	b.WriteString("| Metric | Type | Labels | Meaning |\n|---|---|---|---|\n")
	sorted := slices.SortedFunc(slices.Values(registered), func(a, b *metric) int { return strings.Compare(a.name, b.name) })
	for _, m := range sorted {
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", m.name, m.kindName(), strings.Join(m.labels, ", "), m.help)
	}
	return b.String()
}
