package control

import "time"

// compactBytes is the size of the log from which it is compacted even before
// Timing.Compact entries: the log is also held in memory, and each change of the settings
// contains the whole tree.
const compactBytes = 8 << 20

// compactIfDue replaces old entries by a snapshot, so that the log stays small and a voter
// that missed hundreds of changes catches up in one transfer.
func (g *group) compactIfDue(now time.Time) {
	applied := g.machine.Applied()
	large := g.log.Size() > compactBytes && applied > g.compacted
	if !large && applied < g.compacted+g.core.timing.Compact {
		return
	}
	if err := g.compact(applied); err != nil {
		g.fail(now, err)
	}
}

func (g *group) compact(index uint64) error {
	data, err := g.machine.Snapshot()
	if err != nil {
		return err
	}
	snapshot, err := g.node.SnapshotAt(index, data)
	if err != nil {
		return err
	}
	if err := g.log.SaveSnapshot(snapshot); err != nil {
		return err
	}
	g.compacted = index
	return g.node.Compact(snapshot)
}
