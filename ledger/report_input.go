package ledger

import "time"

// ReportInput is everything that a report is made of.
type ReportInput struct {
	Query Query
	Now   time.Time
	State *State
	// Live are the incarnations that answered just now: what they have in flight
	// is in flight. What any other had in flight is unknown.
	Live map[ID]bool
	// Listed are the instances that the control group lists, whether they
	// answered or not; true: it takes them for alive.
	Listed map[ID]bool
	// MissingBooks are voters that did not answer.
	MissingBooks []string
}

// LiveOf returns the incarnations that answered with their own account.
func LiveOf(dumps []*Dump) map[ID]bool {
	live := map[ID]bool{}
	for _, d := range dumps {
		if d.Own != nil {
			live[d.Own.ID] = true
		}
	}
	return live
}
