package membership

import (
	"slices"
	"sort"
	"time"
)

// Table is the leader's account of all instances and their leases. It is not
// replicated: a new leader starts an empty one and learns the instances from
// their syncs within one interval. Table is pure and not safe for concurrent
// use.
type Table struct {
	timing   Timing
	since    time.Time // when this table began
	revision uint64    // grows with each change that others must learn
	members  map[string]*member
	former   []member // earlier incarnations whose lease may still be valid
}

// member is one instance as the leader knows it.
type member struct {
	instance Instance
	changed  uint64    // table revision of its last visible change
	granted  time.Time // when a lease was last granted to it, zero if never
	heardAt  time.Time
	holds    bool // its lease may still be valid
}

// NewTable returns an empty table that counts from now on.
func NewTable(now time.Time, timing Timing) *Table {
	return &Table{timing: timing, since: now, members: map[string]*member{}}
}

// Verdict says how the table took a statement of an instance.
type Verdict uint8

const (
	// Taken statements are the newest of their instance.
	Taken Verdict = iota
	// Stale statements come from an older incarnation than the known one.
	Stale
)

// Passed takes an instance's statement about itself that another instance heard so
// long ago and passes on. Statements of one instance may come by two ways, and the
// older one last, so one that is older than what is known is ignored, and an instance
// that drains goes on draining.
//
// Such an instance holds no lease that it admits by. That it was heard counts like one:
// a revision is not taken to be in force while it lives and has an older one.
func (t *Table) Passed(now time.Time, age time.Duration, i Instance) Verdict {
	heardAt := now.Add(-age)
	if known, found := t.members[i.Name]; found && known.instance.Incarnation == i.Incarnation {
		if heardAt.Before(known.heardAt) {
			return Taken
		}
		if known.instance.State == Draining && i.State == Live {
			i.State = Draining
		}
	}
	if t.Heard(heardAt, i) == Stale {
		return Stale
	}
	if i.State != Gone {
		t.Granted(heardAt, i.Name)
	}
	return Taken
}

// Heard takes an instance's statement about itself.
func (t *Table) Heard(now time.Time, i Instance) Verdict {
	known, found := t.members[i.Name]
	if !found {
		known = &member{}
		t.members[i.Name] = known
	}
	if found && i.Incarnation < known.instance.Incarnation {
		return Stale
	}
	visible := !found || visibleChange(known.instance, i)
	if found && i.Incarnation > known.instance.Incarnation {
		t.retire(known)
	}
	if i.State == Gone {
		known.holds = false
	}
	known.instance = i
	known.heardAt = now
	if visible {
		t.touch(known)
	}
	return Taken
}

// retire keeps the lease of a former incarnation in the account. Its process is
// most likely dead; but one that was only frozen wakes with a lease that is
// still valid and would admit by its old revision.
func (t *Table) retire(known *member) {
	if known.holds {
		t.former = append(t.former, *known)
	}
	known.holds = false
}

// visibleChange ignores the confirmed revision, which others need not learn.
func visibleChange(old, i Instance) bool {
	old.Revision = i.Revision
	return old != i
}

// Granted notes that a lease was granted to the instance now.
func (t *Table) Granted(now time.Time, name string) {
	if m, found := t.members[name]; found {
		m.granted = now
		m.holds = true
	}
}

// Expire moves instances whose lease has surely lapsed to Gone and forgets
// those that were gone for long.
func (t *Table) Expire(now time.Time) {
	t.former = slices.DeleteFunc(t.former, func(m member) bool { return t.lapsed(now, &m) })
	for name, m := range t.members {
		if m.holds && t.lapsed(now, m) {
			m.holds = false
		}
		if m.instance.State != Gone && t.silent(now, m) {
			m.instance.State = Gone
			t.touch(m)
		}
		if m.instance.State == Gone && now.Sub(m.heardAt) > t.timing.Kept {
			delete(t.members, name)
		}
	}
}

func (t *Table) lapsed(now time.Time, m *member) bool {
	return now.Sub(m.granted) > t.timing.Lease+t.timing.Margin
}

func (t *Table) silent(now time.Time, m *member) bool {
	return now.Sub(m.heardAt) > t.timing.Lease+t.timing.Margin
}

func (t *Table) touch(m *member) {
	t.revision++
	m.changed = t.revision
}

// Settled reports whether the table is old enough to know every instance that
// may hold a lease. A lease that the former leader granted may live on for its
// whole length, and the new leader knows nothing of the holder until it syncs.
func (t *Table) Settled(now time.Time) bool {
	return now.Sub(t.since) > t.timing.Lease+t.timing.Margin
}

// Outstanding returns the instances that may still admit by a revision below
// the given one, ordered by name. Expire must have been called with this time.
func (t *Table) Outstanding(revision uint64) []Instance {
	var found []Instance
	for _, m := range t.members {
		if m.holds && m.instance.Revision < revision {
			found = append(found, m.instance)
		}
	}
	for _, m := range t.former {
		if m.instance.Revision < revision {
			found = append(found, m.instance)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Name < found[b].Name })
	return found
}

// InForce reports whether no instance can admit any more by a revision below
// the given one.
func (t *Table) InForce(now time.Time, revision uint64) bool {
	t.Expire(now)
	return t.Settled(now) && len(t.Outstanding(revision)) == 0
}

// Revision returns the number of the newest visible change.
func (t *Table) Revision() uint64 { return t.revision }

// Changed returns the instances that changed after the given table revision,
// ordered by name.
func (t *Table) Changed(after uint64) []Instance {
	var found []Instance
	for _, m := range t.members {
		if m.changed > after {
			found = append(found, m.instance)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Name < found[b].Name })
	return found
}

// Known returns the instance with the name, gone or not.
func (t *Table) Known(name string) (Instance, bool) {
	if m, found := t.members[name]; found {
		return m.instance, true
	}
	return Instance{}, false
}

// Incarnation returns the highest known incarnation of a name, 0 if none.
func (t *Table) Incarnation(name string) uint64 {
	if m, found := t.members[name]; found {
		return m.instance.Incarnation
	}
	return 0
}

// Find returns the instance with the name unless it is gone.
func (t *Table) Find(name string) (Instance, bool) {
	if m, found := t.members[name]; found && m.instance.State != Gone {
		return m.instance, true
	}
	return Instance{}, false
}
