package ledger

import "time"

// ReportInput is the input of NewReport.
type ReportInput struct {
	Query Query
	Now   time.Time
	State *State
	// Live holds the incarnations that answered for this report. Their open requests
	// are reported as in flight, those of all other incarnations as unknown.
	Live map[ID]bool
	// Listed holds the incarnations that the control group lists, whether or not
	// they answered. The value is true if the control group considers them alive.
	Listed map[ID]bool
	// MissingVoters lists the voters that did not answer.
	MissingVoters []string
}

// LiveOf returns the incarnations whose own account is among the dumps.
func LiveOf(dumps []*Dump) map[ID]bool {
	live := map[ID]bool{}
	for _, d := range dumps {
		if d.Account != nil {
			live[d.Account.ID] = true
		}
	}
	return live
}
