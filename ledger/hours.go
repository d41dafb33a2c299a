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

// Hours returns the hours that are kept, ascending, up to now.
func (w *Windows) Hours(now time.Time) []Hour {
	t := tiers[hourTier]
	newest := t.number(now)
	var hours []Hour
	for number, c := range w.Cells[hourTier] {
		if number <= newest && newest-number < int64(t.keep) {
			hours = append(hours, Hour{Start: t.start(number), Series: c})
		}
	}
	slices.SortFunc(hours, func(a, b Hour) int { return a.Start.Compare(b.Start) })
	return hours
}
