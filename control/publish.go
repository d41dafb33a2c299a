package control

import "time"

// viewInterval is the shortest time between two views that differ only in the
// load of upstreams. Each announcement would otherwise build a whole snapshot.
const viewInterval = 250 * time.Millisecond

// viewState says whether a new view is due.
type viewState struct {
	urgent bool
	late   bool
	at     time.Time // of the last view
}

// dirty asks for a new view at once.
func (v *viewState) dirty() { v.urgent = true }

// stale asks for a new view soon.
func (v *viewState) stale() { v.late = true }

// publishIfDue builds a new view when one is due and returns when to look again.
func (c *core) publishIfDue(now time.Time) time.Time {
	due := c.views.at.Add(viewInterval)
	switch {
	case c.views.urgent, c.views.late && !now.Before(due):
		c.publish(now)
	case c.views.late:
		return due
	}
	return now.Add(maxWait)
}

// publish replaces the view whole.
func (c *core) publish(now time.Time) {
	c.views = viewState{at: now}
	c.known.Expire(now)
	c.members.forget(now, c.timing.Membership.Retention)
	view := &View{
		Incarnation: c.self.Incarnation,
		Tree:        c.installed.tree,
		LeaseUntil:  c.lease.until,
		Instances:   c.members.list(),
		Upstreams:   c.known.Snapshot(now),
		Grants:      c.grants,
		Leader:      c.position.leader,
		HasQuorum:   c.lease.valid(now),
		Quarantine:  c.quarantined,
	}
	c.node.view.Store(view)
}
