package consensus

// SnapshotAt completes a snapshot of the applied state at an index with the
// term and the configuration of the log there. The driver syncs it and then
// calls Compact.
func (n *Node) SnapshotAt(index uint64, data []byte) (Snapshot, error) {
	term, ok := n.log.termAt(index)
	if !ok || index > n.log.applied || index < n.snapshot.Index {
		return Snapshot{}, refuse(RefusedNoSuchIndex)
	}
	return Snapshot{Index: index, Term: term, Configuration: n.configs.at(index), Data: data}, nil
}

// maxTrailingBytes bounds the entries that are kept behind a snapshot.
const maxTrailingBytes = 4 << 20

// Compact drops entries that a synced snapshot covers, but for Trailing ones, or
// fewer if they are large. Members that need older entries get the snapshot.
func (n *Node) Compact(s Snapshot) error {
	if s.Index > n.log.applied || !n.log.matches(position{s.Index, s.Term}) {
		return refuse(RefusedInconsistent)
	}
	n.snapshot = s
	from := n.trailingFrom(s.Index)
	n.log.compact(from)
	n.configs.compact(from)
	return nil
}

// trailingFrom returns the index behind which entries are kept.
func (n *Node) trailingFrom(index uint64) uint64 {
	bytes := 0
	for kept := uint64(0); kept < n.trailing && index > n.log.base.index; kept++ {
		bytes += len(n.log.entries[index-n.log.base.index-1].Data)
		if bytes > maxTrailingBytes {
			break
		}
		index--
	}
	return index
}
