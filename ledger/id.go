package ledger

import (
	"cmp"
	"strings"
)

// ID names one incarnation of one instance.
type ID struct {
	Instance    string
	Incarnation uint64 // grows with each start of the process
}

// Compare orders by instance, then by incarnation.
func (id ID) Compare(other ID) int {
	if c := strings.Compare(id.Instance, other.Instance); c != 0 {
		return c
	}
	return cmp.Compare(id.Incarnation, other.Incarnation)
}
