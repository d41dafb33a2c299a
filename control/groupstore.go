package control

import (
	"time"

	"celeryport/consensus"
	"celeryport/event"
)

// slowWriteShare is the part of the shortest election timeout from which a write to the log counts as slow: two
// such writes in a row, on the leader and on a follower, delay a heartbeat by that timeout.
const slowWriteShare = 0.25

// store writes a batch to the log and syncs it.
func (g *group) store(batch *consensus.Batch) error {
	defer g.logSlowWrite(g.core.node.clock.Now())
	return g.log.Save(batch)
}

// logSlowWrite logs a write that began at a time if it was slow.
func (g *group) logSlowWrite(began time.Time) {
	took := g.core.node.clock.Now().Sub(began)
	if took < time.Duration(slowWriteShare*float64(g.core.timing.Consensus.ElectionMin)) {
		return
	}
	eventStorageSlow.Log(g.core.log, event.Fields{"folder": g.core.installed.folder.path, "waited_ms": took.Milliseconds()})
}
