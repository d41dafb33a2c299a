package ledger

import "time"

// Query selects what a report covers.
type Query struct {
	Since        time.Time `json:"since,omitzero"` // zero: all recorded requests
	Organisation string    `json:"organisation,omitempty"`
	Class        string    `json:"class,omitempty"`
}

// matches reports whether a series is selected. A name selects itself and all names
// below it in the hierarchy.
func (q *Query) matches(s Series) bool {
	return within(q.Organisation, s.Organisation) && within(q.Class, s.Class)
}

func within(branch, name string) bool {
	if branch == "" || branch == name {
		return true
	}
	return len(name) > len(branch) && name[:len(branch)] == branch && name[len(branch)] == '.'
}
