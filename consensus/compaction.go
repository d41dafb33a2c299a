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

// Compact drops entries that a synced snapshot covers, but for Trailing ones.
// Members that need older entries get the snapshot.
func (n *Node) Compact(s Snapshot) error {
	if s.Index > n.log.applied || !n.log.matches(position{s.Index, s.Term}) {
		return refuse(RefusedInconsistent)
	}
	n.snapshot = s
	if s.Index > n.trailing {
		n.log.compact(s.Index - n.trailing)
		n.configs.compact(s.Index - n.trailing)
	}
	return nil
}
