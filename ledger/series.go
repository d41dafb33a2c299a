package ledger

import (
	"strings"

	"celeryport/request"
)

// Series identifies one set of counters.
type Series struct {
	Organisation string
	Class        string
	Kind         request.Kind
	Target       string // name of a model or service
}

// Compare orders series for reports.
func (s Series) Compare(other Series) int {
	if c := strings.Compare(s.Organisation, other.Organisation); c != 0 {
		return c
	}
	if c := strings.Compare(s.Class, other.Class); c != 0 {
		return c
	}
	if c := strings.Compare(s.Target, other.Target); c != 0 {
		return c
	}
	return int(s.Kind) - int(other.Kind)
}
