package control

import "time"

// confirmGrace is how long after a change an instance still gets leases while it
// has not confirmed it.
const confirmGrace = time.Second

// confirmations say which instances may get a lease. An instance that can't
// install a revision, for want of disk or because its version doesn't know a
// key, goes on syncing. If it went on getting leases, the revision could never
// count as in force. But with changes that follow each other fast every instance
// is always a little behind, and must not lose its lease for that.
type confirmations struct {
	current    uint64
	superseded map[uint64]time.Time // when a revision ceased to be the accepted one
}

// note takes in the accepted revision.
func (c *confirmations) note(now time.Time, accepted uint64) {
	if accepted == c.current {
		return
	}
	if c.superseded == nil {
		c.superseded = map[uint64]time.Time{}
	}
	for revision, at := range c.superseded {
		if now.Sub(at) > confirmGrace {
			delete(c.superseded, revision)
		}
	}
	c.superseded[c.current] = now
	c.current = accepted
}

// lately reports whether the revision is the accepted one, or was until a moment
// ago.
func (c *confirmations) lately(now time.Time, revision uint64) bool {
	if revision >= c.current {
		return true
	}
	at, found := c.superseded[revision]
	return found && now.Sub(at) <= confirmGrace
}
