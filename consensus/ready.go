package consensus

// handedOut remembers what the last batch held until Advance.
type handedOut struct {
	pending   bool
	hardState HardState
	last      position // of the last entry to sync
	applied   uint64
	snapshot  bool
}

// HasReady reports whether Ready would return something. It is false between
// Ready and Advance.
func (n *Node) HasReady() bool {
	if n.handed.pending {
		return false
	}
	return n.received != nil || n.mustSyncHardState() || n.log.stable < n.log.last().index ||
		len(n.messages) > 0 || len(n.reads) > 0 || n.log.applied < n.log.commit
}

// mustSyncHardState reports whether a term or vote is not synced. The commit
// index alone needs no sync, since the next leader finds it again; it is stored
// along with other writes.
func (n *Node) mustSyncHardState() bool {
	return n.term != n.handed.hardState.Term || n.vote != n.handed.hardState.Vote
}

// Ready returns the work that has come up. The driver follows the order that
// Batch tells, then calls Advance.
func (n *Node) Ready() Batch {
	if n.handed.pending {
		return Batch{SoftState: n.softState()}
	}
	b := Batch{Messages: n.messages, ReadStates: n.reads, SoftState: n.softState()}
	n.messages, n.reads = nil, nil
	n.handed.pending = true
	if n.received != nil {
		// Entries behind the snapshot wait for the next batch: they may be synced
		// only after it.
		n.handed.snapshot = true
		b.Snapshot = n.received
		b.HardState = n.takeHardState()
		return b
	}
	b.Entries = n.log.between(n.log.stable, n.log.last().index)
	n.handed.last = n.log.last()
	if n.mustSyncHardState() || len(b.Entries) > 0 {
		b.HardState = n.takeHardState()
	}
	b.Committed = n.log.between(n.log.applied, n.log.commit)
	n.handed.applied = n.log.commit
	return b
}

// takeHardState returns the hard state if it differs from what is synced.
func (n *Node) takeHardState() *HardState {
	s := n.hardState()
	if s == n.handed.hardState {
		return nil
	}
	n.handed.hardState = s
	return &s
}

// Advance says that the last batch is synced, sent and applied. A leader counts
// its own copy of an entry only now.
func (n *Node) Advance() {
	if !n.handed.pending {
		return
	}
	n.handed.pending = false
	if n.handed.snapshot {
		n.handed.snapshot = false
		n.received = nil
		return
	}
	if p := n.handed.last; n.log.matches(p) {
		n.log.stable = max(n.log.stable, p.index)
	}
	n.log.applied = max(n.log.applied, n.handed.applied)
	if n.role == Leader && n.advanceCommit() {
		n.announceCommit()
	}
}

func (n *Node) softState() SoftState {
	return SoftState{Leader: n.leader, Role: n.publicRole(), Term: n.term}
}

// publicRole tells a member that does not vote from a follower.
func (n *Node) publicRole() Role {
	if n.role == Follower && !n.configs.current().Voter(n.id) {
		return Learner
	}
	return n.role
}
