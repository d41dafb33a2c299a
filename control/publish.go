package control

import "time"

// viewInterval is the shortest time between two views that differ only in the load of
// upstreams. Otherwise each announcement would build a whole snapshot.
const viewInterval = 250 * time.Millisecond

// viewState records whether a new view is due.
type viewState struct {
	urgent  bool
	pending bool
	at      time.Time // time of the last view
}

// dirty requests a new view at once.
func (v *viewState) dirty() { v.urgent = true }

// stale requests a new view within viewInterval.
func (v *viewState) stale() { v.pending = true }

// publishIfDue publishes a new view if one is due and returns when to check again.
func (c *core) publishIfDue(now time.Time) time.Time {
	due := c.views.at.Add(viewInterval)
	switch {
	case c.views.urgent, c.views.pending && !now.Before(due):
		c.publish(now)
	case c.views.pending:
		return due
	}
	return now.Add(maxWait)
}

// publish replaces the view.
func (c *core) publish(now time.Time) {
	c.views = viewState{at: now}
	c.known.Expire(now)
	c.members.expire(now, c.timing.Membership.Retention)
	upstreams := c.known.Snapshot(now)
	if len(c.evacuated.Names()) > 0 {
		upstreams.MarkEvacuated(c.evacuated.Covers)
	}
	if len(c.restoredAt) > 0 {
		upstreams.MarkRestored(c.restoredAt)
	}
	view := &View{
		Incarnation: c.self.Incarnation,
		Tree:        c.installed.tree,
		LeaseUntil:  c.lease.until,
		Instances:   c.members.list(),
		Complete:    c.members.settled,
		Upstreams:   upstreams,
		Grants:      c.grants,
		GrantRound:  c.grantRound,
		Leader:      c.position.leader,
		HasQuorum:   c.lease.valid(now),
		Quarantine:  c.quarantined,
		Evacuated:   c.evacuated,
	}
	c.node.view.Store(view)
}
