package consensus

// outstandingBatch records the content of the last batch until Advance.
type outstandingBatch struct {
	pending   bool
	hardState HardState
	last      position // position of the last entry to sync
	applied   uint64
	snapshot  bool
}

// HasReady reports whether Ready would return any work. It is false between
// Ready and Advance.
func (n *Node) HasReady() bool {
	if n.outstanding.pending {
		return false
	}
	return n.received != nil || n.mustSyncHardState() || n.log.stable < n.log.last().index ||
		len(n.messages) > 0 || len(n.reads) > 0 || n.log.applied < n.log.commit
}

// mustSyncHardState reports whether the term or the vote is not synced yet. The
// commit index alone does not need a sync, since the next leader determines it
// again; it is stored along with other writes.
func (n *Node) mustSyncHardState() bool {
	return n.term != n.outstanding.hardState.Term || n.vote != n.outstanding.hardState.Vote
}

// Ready returns the pending work. The driver processes it in the order that
// Batch specifies, then calls Advance.
func (n *Node) Ready() Batch {
	if n.outstanding.pending {
		return Batch{SoftState: n.softState()}
	}
	b := Batch{Messages: n.messages, ReadStates: n.reads, SoftState: n.softState()}
	n.messages, n.reads = nil, nil
	n.outstanding.pending = true
	if n.received != nil {
		// Entries after the snapshot are left for the next batch, because they
		// must not be synced before it.
		n.outstanding.snapshot = true
		b.Snapshot = n.received
		b.HardState = n.takeHardState(n.outstanding.hardState.Commit)
		return b
	}
	b.Entries = n.log.between(n.log.stable, n.log.last().index)
	n.outstanding.last = n.log.last()
	if n.mustSyncHardState() || len(b.Entries) > 0 {
		b.HardState = n.takeHardState(n.log.commit)
	}
	b.Committed = n.log.between(n.log.applied, n.log.commit)
	n.outstanding.applied = n.log.commit
	return b
}

// takeHardState returns the hard state if it has changed since it was last
// returned, and otherwise nil. The commit index must not exceed what the disk holds once
// the hard state is written: a snapshot is written after it, and until then the disk may
// hold entries that the snapshot replaces.
func (n *Node) takeHardState(commit uint64) *HardState {
	s := HardState{Term: n.term, Vote: n.vote, Commit: commit}
	if s == n.outstanding.hardState {
		return nil
	}
	n.outstanding.hardState = s
	return &s
}

// Advance reports that the last batch is synced, sent and applied. Only now does
// a leader count its own copy of the entries.
func (n *Node) Advance() {
	if !n.outstanding.pending {
		return
	}
	n.outstanding.pending = false
	if n.outstanding.snapshot {
		n.outstanding.snapshot = false
		n.received = nil
		return
	}
	if p := n.outstanding.last; n.log.matches(p) {
		n.log.stable = max(n.log.stable, p.index)
	}
	n.log.applied = max(n.log.applied, n.outstanding.applied)
	if n.role == Leader && n.advanceCommit() {
		n.broadcastCommit()
	}
}

func (n *Node) softState() SoftState {
	return SoftState{Leader: n.leader, Role: n.reportedRole(), Term: n.term}
}

// reportedRole returns the role, with Learner in place of Follower for a member
// that does not vote.
func (n *Node) reportedRole() Role {
	if n.role == Follower && !n.configs.current().Voter(n.id) {
		return Learner
	}
	return n.role
}
