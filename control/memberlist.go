package control

import (
	"slices"
	"strings"

	"celeryport/membership"
)

// memberList is an instance's copy of the leader's membership table.
type memberList struct {
	byName map[string]membership.Instance
	sorted []membership.Instance // nil after a change
}

func newMemberList() memberList {
	return memberList{byName: map[string]membership.Instance{}}
}

// merge takes a delta. The list of a former leader is kept until the new one
// has heard the instances itself, since an empty list would leave callers
// without addresses.
func (l *memberList) merge(delta []membership.Instance) {
	for _, i := range delta {
		if known, found := l.byName[i.Name]; found && known.Incarnation > i.Incarnation {
			continue
		}
		l.byName[i.Name] = i
	}
	if len(delta) > 0 {
		l.sorted = nil
	}
}

// list returns the instances by name. The slice is shared and never changed.
func (l *memberList) list() []membership.Instance {
	if l.sorted == nil {
		l.sorted = make([]membership.Instance, 0, len(l.byName))
		for _, i := range l.byName {
			l.sorted = append(l.sorted, i)
		}
		slices.SortFunc(l.sorted, func(a, b membership.Instance) int {
			return strings.Compare(a.Name, b.Name)
		})
	}
	return l.sorted
}
