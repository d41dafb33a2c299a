package control

import "time"

// confirmGrace is how long after a change an instance that has not confirmed it still gets
// leases.
const confirmGrace = time.Second

// confirmations decide which instances may get a lease. An instance that cannot install a
// revision, because its disk is full or its version does not know a key, continues to
// sync. If it continued to get leases, the revision could never count as in force.
// However, when changes follow each other quickly, every instance is always slightly
// behind and must not lose its lease for that.
type confirmations struct {
	current    uint64
	superseded map[uint64]time.Time // time at which each revision was superseded
}

// setCurrent records the accepted revision.
func (c *confirmations) setCurrent(now time.Time, accepted uint64) {
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

// isRecent reports whether the revision is the accepted one, or was until confirmGrace
// ago.
func (c *confirmations) isRecent(now time.Time, revision uint64) bool {
	if revision >= c.current {
		return true
	}
	at, found := c.superseded[revision]
	return found && now.Sub(at) <= confirmGrace
}
