package control

import (
	"slices"
	"strings"
	"time"

	"celeryport/membership"
)

// memberList is an instance's copy of the leader's membership table.
//
// A new leader starts with an empty table and never learns of an instance that died
// together with its predecessor, or of the predecessor itself. Such an instance would be
// given to callers forever. Therefore, once the new leader has led long enough to know
// every live instance, those that it has never named are marked as gone.
type memberList struct {
	byName  map[string]memberEntry
	sorted  []membership.Instance // nil after a change
	settled bool                  // the current leader knows every live instance

	revision uint64 // incremented with each change that others must learn
}

// memberEntry is one instance of the list.
type memberEntry struct {
	instance  membership.Instance
	named     bool      // by the current leader
	goneSince time.Time // zero: not gone
	changed   uint64    // revision of the list at the last change that others must learn
}

func newMemberList() memberList { return memberList{byName: map[string]memberEntry{}} }

// startEpoch prepares for the updates of another leader. The instances named by the former
// one are kept, because an empty list would leave callers without addresses.
func (l *memberList) startEpoch() {
	l.settled = false
	for name, entry := range l.byName {
		entry.named = false
		l.byName[name] = entry
	}
}

// merge applies a delta.
func (l *memberList) merge(now time.Time, delta []membership.Instance) {
	for _, i := range delta {
		entry := l.byName[i.Name]
		entry.named = true
		if entry.instance.Incarnation <= i.Incarnation {
			l.markChanged(&entry, i)
			entry.set(now, i)
		}
		l.byName[i.Name] = entry
		l.sorted = nil
	}
}

// addUnknown adds remembered instances that are not in the list yet.
func (l *memberList) addUnknown(now time.Time, instances []membership.Instance) {
	for _, i := range instances {
		if _, known := l.byName[i.Name]; !known {
			var entry memberEntry
			l.markChanged(&entry, i)
			entry.set(now, i)
			l.byName[i.Name] = entry
			l.sorted = nil
		}
	}
}

// markChanged records that an entry is about to change, unless only what it has confirmed
// changes, which others need not learn.
func (l *memberList) markChanged(entry *memberEntry, i membership.Instance) {
	old := entry.instance
	old.Revision, old.Evacuated = i.Revision, i.Evacuated
	if old != i {
		l.revision++
		entry.changed = l.revision
	}
}

// changed returns the instances that changed after a revision of the list, sorted by name.
func (l *memberList) changed(after uint64) []membership.Instance {
	if after == l.revision {
		return nil
	}
	var found []membership.Instance
	for _, entry := range l.byName {
		if entry.changed > after {
			found = append(found, entry.instance)
		}
	}
	slices.SortFunc(found, func(a, b membership.Instance) int { return strings.Compare(a.Name, b.Name) })
	return found
}

func (e *memberEntry) set(now time.Time, i membership.Instance) {
	e.instance = i
	switch {
	case i.State != membership.Gone:
		e.goneSince = time.Time{}
	case e.goneSince.IsZero():
		e.goneSince = now
	}
}

// settle records that the current leader knows every live instance, and marks those that
// it has not named as gone.
func (l *memberList) settle(now time.Time) {
	if l.settled {
		return
	}
	l.settled = true
	for name, entry := range l.byName {
		if !entry.named {
			gone := entry.instance
			gone.State = membership.Gone
			l.markChanged(&entry, gone)
			entry.set(now, gone)
			l.byName[name] = entry
		}
	}
	l.sorted = nil
}

// expire removes the instances that have been gone for longer than kept.
func (l *memberList) expire(now time.Time, kept time.Duration) {
	for name, entry := range l.byName {
		if !entry.goneSince.IsZero() && now.Sub(entry.goneSince) > kept {
			delete(l.byName, name)
			l.sorted = nil
		}
	}
}

// list returns the instances sorted by name. The slice is shared and must not be modified.
func (l *memberList) list() []membership.Instance {
	if l.sorted == nil {
		l.sorted = make([]membership.Instance, 0, len(l.byName))
		for _, entry := range l.byName {
			l.sorted = append(l.sorted, entry.instance)
		}
		slices.SortFunc(l.sorted, func(a, b membership.Instance) int {
			return strings.Compare(a.Name, b.Name)
		})
	}
	return l.sorted
}
