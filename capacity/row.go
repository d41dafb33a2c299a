package capacity

import (
	"cmp"
	"fmt"
	"slices"
)

// Role is a part that an instance plays.
type Role string

// The roles of the page.
const (
	Entry      Role = "entry"
	Follower   Role = "voter, following"
	Leader     Role = "voter, leading"
	SetAside   Role = "set aside for control"
	Reconciler Role = "reconciler"
)

// Row is one quantity of one role at the target size.
type Row struct {
	Role      Role
	Quantity  string
	Value     float64
	Unit      Unit
	Limit     float64 // 0: the letter gives none
	Formula   string
	Mechanism string // what carries it: package and mechanism
	Breaks    string // at which size the limit is reached
	Trial     string // what a trial says against the slope
	Carries   bool   // today's mechanism carries the target
	Planned   bool   // a chosen mechanism that isn't built
	Unknown   bool   // nothing was measured that the value could follow from
}

// Margin is the part of the limit that is left; negative: by how much of the limit
// the value exceeds it. A row without a limit has none.
func (r Row) Margin() (margin float64, ok bool) {
	if r.Limit == 0 || r.Unknown {
		return 0, false
	}
	return (r.Limit - r.Value) / r.Limit, true
}

// against sets the limit, and with it whether the value is within it.
func (r Row) against(limit float64) Row {
	r.Limit = limit
	r.Carries = r.Value <= limit
	return r
}

// breaksAt says at which size of what a line reaches the limit of the row.
func (r Row) breaksAt(l line, what string) Row {
	if size, ok := l.reaches(r.Limit); ok {
		r.Breaks = fmt.Sprintf("over from %s %s on", number(size+1), what)
		return r
	}
	r.Breaks = "over at any number of " + what
	return r
}

// Times is the value as a multiple of the limit.
func (r Row) Times() float64 { return r.Value / r.Limit }

// sortByMargin puts the worst row first.
func sortByMargin(rows []Row) {
	slices.SortStableFunc(rows, func(a, b Row) int { return cmp.Compare(b.Times(), a.Times()) })
}

// Remark is where the row breaks and what a trial says.
func (r Row) Remark() string {
	if r.Trial == "" {
		return r.Breaks
	}
	return r.Breaks + "; " + r.Trial
}

// Needs is the value with its unit, as the page shows it.
func (r Row) Needs() string { return r.Unit.format(r.Value) }
