package ledger

import (
	"cmp"
	"strings"
)

// ID identifies one incarnation of one instance.
type ID struct {
	Instance    string
	Incarnation uint64 // increases with each start of the process
}

// Compare orders by instance, then by incarnation.
func (id ID) Compare(other ID) int {
	if c := strings.Compare(id.Instance, other.Instance); c != 0 {
		return c
	}
	return cmp.Compare(id.Incarnation, other.Incarnation)
}
