package membership

import (
	"slices"
	"sort"
	"time"
)

// Table is the leader's view of all instances and their leases. It is not replicated: a new
// leader starts with an empty table and learns the instances from their syncs within one
// interval. Table does no I/O, reads no clock and is not safe for concurrent use.
type Table struct {
	timing    Timing
	createdAt time.Time
	revision  uint64 // incremented by each change that is published to other instances
	members   map[string]*member
	retired   []member // earlier incarnations whose lease may still be valid
}

// member is the leader's record of one instance.
type member struct {
	instance   Instance
	changed    uint64    // table revision of the last visible change
	grantedAt  time.Time // when the last lease was granted, zero if never
	receivedAt time.Time
	holdsLease bool // the lease may still be valid
}

// NewTable returns an empty table that was created at now.
func NewTable(now time.Time, timing Timing) *Table {
	return &Table{timing: timing, createdAt: now, members: map[string]*member{}}
}

// Verdict is the result of processing an instance's report.
type Verdict uint8

const (
	// Accepted reports are the newest of their instance.
	Accepted Verdict = iota
	// Stale reports come from an older incarnation than the known one.
	Stale
)

// RecordForwarded records an instance's report that a voter received age ago and forwarded.
// Reports of one instance may arrive over two paths and out of order. A report that is older
// than the last known one is ignored, and a draining instance stays draining.
//
// An instance whose reports are forwarded does not admit calls by a lease, but each of its
// reports counts as the grant of one: no revision is considered in force while the instance
// is live and has confirmed only an older revision.
func (t *Table) RecordForwarded(now time.Time, age time.Duration, i Instance) Verdict {
	receivedAt := now.Add(-age)
	if known, found := t.members[i.Name]; found && known.instance.Incarnation == i.Incarnation {
		if receivedAt.Before(known.receivedAt) {
			return Accepted
		}
		if known.instance.State == Draining && i.State == Live {
			i.State = Draining
		}
	}
	if t.Record(receivedAt, i) == Stale {
		return Stale
	}
	if i.State != Gone {
		t.RecordLease(receivedAt, i.Name)
	}
	return Accepted
}

// Record records an instance's report about itself.
func (t *Table) Record(now time.Time, i Instance) Verdict {
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
		known.holdsLease = false
	}
	known.instance = i
	known.receivedAt = now
	if visible {
		t.markChanged(known)
	}
	return Accepted
}

// retire keeps track of the lease of a previous incarnation. Its process is most likely
// dead. If it was only suspended, it may resume with a valid lease and admit calls under its
// old revision.
func (t *Table) retire(known *member) {
	if known.holdsLease {
		t.retired = append(t.retired, *known)
	}
	known.holdsLease = false
}

// visibleChange reports whether two reports differ in more than what the instance has
// confirmed, which is not published to other instances.
func visibleChange(old, i Instance) bool {
	old.Revision, old.Evacuated = i.Revision, i.Evacuated
	return old != i
}

// RecordLease records that a lease was granted to the instance at now.
func (t *Table) RecordLease(now time.Time, name string) {
	if m, found := t.members[name]; found {
		m.grantedAt = now
		m.holdsLease = true
	}
}

// Expire marks instances as gone once their lease has certainly lapsed, and removes those
// that have been gone for longer than the retention time.
func (t *Table) Expire(now time.Time) {
	t.retired = slices.DeleteFunc(t.retired, func(m member) bool { return t.lapsed(now, &m) })
	for name, m := range t.members {
		if m.holdsLease && t.lapsed(now, m) {
			m.holdsLease = false
		}
		if m.instance.State != Gone && t.silent(now, m) {
			m.instance.State = Gone
			t.markChanged(m)
		}
		if m.instance.State == Gone && now.Sub(m.receivedAt) > t.timing.Retention {
			delete(t.members, name)
		}
	}
}

func (t *Table) lapsed(now time.Time, m *member) bool {
	return now.Sub(m.grantedAt) > t.timing.Lease+t.timing.Margin
}

func (t *Table) silent(now time.Time, m *member) bool {
	return now.Sub(m.receivedAt) > t.timing.Lease+t.timing.Margin
}

func (t *Table) markChanged(m *member) {
	t.revision++
	m.changed = t.revision
}

// Settled reports whether the table is old enough to know every instance that may hold a
// lease. A lease that the previous leader granted may stay valid for its whole duration, and
// the new leader does not know its holder until the holder syncs.
func (t *Table) Settled(now time.Time) bool {
	return now.Sub(t.createdAt) > t.timing.Lease+t.timing.Margin
}

// Outstanding returns the instances that may still admit calls under a revision below the
// given one, sorted by name. Expire must have been called with the current time before.
func (t *Table) Outstanding(revision uint64) []Instance {
	return t.outstanding(func(i *Instance) bool { return i.Revision < revision })
}

// outstanding returns the instances that may still admit calls and that satisfy a condition,
// sorted by name.
func (t *Table) outstanding(behind func(i *Instance) bool) []Instance {
	var found []Instance
	for _, m := range t.members {
		if m.holdsLease && behind(&m.instance) {
			found = append(found, m.instance)
		}
	}
	for i := range t.retired {
		if behind(&t.retired[i].instance) {
			found = append(found, t.retired[i].instance)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Name < found[b].Name })
	return found
}

// InForce reports whether no instance can admit calls under a revision below the given one
// any more.
func (t *Table) InForce(now time.Time, revision uint64) bool {
	t.Expire(now)
	return t.Settled(now) && len(t.Outstanding(revision)) == 0
}

// EvacuationInForce reports whether every instance that may admit calls has applied the
// evacuated zones of a version.
func (t *Table) EvacuationInForce(now time.Time, version uint64) bool {
	t.Expire(now)
	behind := t.outstanding(func(i *Instance) bool { return i.Evacuated < version })
	return t.Settled(now) && len(behind) == 0
}

// Revision returns the number of the newest visible change.
func (t *Table) Revision() uint64 { return t.revision }

// Changed returns the instances that changed after the given table revision, sorted by name.
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

// Known returns the instance with the given name, whether or not it is gone.
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

// Find returns the instance with the given name unless it is gone.
func (t *Table) Find(name string) (Instance, bool) {
	if m, found := t.members[name]; found && m.instance.State != Gone {
		return m.instance, true
	}
	return Instance{}, false
}
