package consensus

// SnapshotAt returns a snapshot of the applied state at an index, with the term
// and the configuration that the log has at that index. The driver syncs the
// snapshot and then calls Compact.
func (n *Node) SnapshotAt(index uint64, data []byte) (Snapshot, error) {
	term, ok := n.log.termAt(index)
	if !ok || index > n.log.applied || index < n.snapshot.Index {
		return Snapshot{}, refuse(RefusedNoSuchIndex)
	}
	return Snapshot{Index: index, Term: term, Configuration: n.configs.at(index), Data: data}, nil
}

// maxTrailingBytes limits the size of the log entries kept in memory that a
// snapshot already covers.
const maxTrailingBytes = 4 << 20

// Compact drops log entries covered by a synced snapshot. It keeps the last
// Trailing entries, or fewer if they exceed maxTrailingBytes. Members that need
// older entries are sent the snapshot.
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

// trailingFrom returns the index up to which the log is compacted after a snapshot
// at the given index. The entries after the returned index are kept.
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
