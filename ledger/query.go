package ledger

import "time"

// Query is what a report is asked for.
type Query struct {
	Since        time.Time `json:"since,omitzero"` // zero: everything that is known
	Organisation string    `json:"organisation,omitempty"`
	Class        string    `json:"class,omitempty"`
}

// matches reports whether a series is asked for; a name stands for its branch
// and all below it.
func (q *Query) matches(s Series) bool {
	return within(q.Organisation, s.Organisation) && within(q.Class, s.Class)
}

func within(branch, name string) bool {
	if branch == "" || branch == name {
		return true
	}
	return len(name) > len(branch) && name[:len(branch)] == branch && name[len(branch)] == '.'
}
