package ledger

import (
	"slices"
	"time"
)

// Hour is the growth of all series within one hour.
type Hour struct {
	Start  time.Time
	Series map[Series]*Counters
}

// Hours returns the retained hours up to now, in ascending order.
func (w *Windows) Hours(now time.Time) []Hour {
	t := tiers[hourTier]
	newest := t.number(now)
	var hours []Hour
	for number, c := range w.Cells[hourTier] {
		if number <= newest && newest-number < int64(t.maxCells) {
			hours = append(hours, Hour{Start: t.start(number), Series: c})
		}
	}
	slices.SortFunc(hours, func(a, b Hour) int { return a.Start.Compare(b.Start) })
	return hours
}
