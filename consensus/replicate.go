package consensus

const (
	// maxAppendBytes limits the size of the entries in one append message.
	maxAppendBytes = 1 << 20
	// snapshotResendFactor, multiplied by ElectionMin, is the time after which an
	// unconfirmed snapshot is sent again.
	snapshotResendFactor = 3
)

// sendAppend sends a peer the entries that it lacks. A heartbeat is sent even if
// there are no new entries or the peer is paused; it then contains no entries.
func (n *Node) sendAppend(p *peer, heartbeat bool) {
	if p.state == snapshotting {
		if heartbeat {
			n.sendKeepAlive(p)
		}
		return
	}
	term, ok := n.log.termAt(p.next - 1)
	if !ok {
		n.sendSnapshotIfReachable(p, heartbeat)
		return
	}
	var entries []Entry
	if !p.paused() {
		entries = n.log.from(p.next, maxAppendBytes)
	}
	if len(entries) == 0 && !heartbeat {
		return
	}
	n.send(Message{
		Kind: AppendRequest, To: p.id, Index: p.next - 1, LogTerm: term,
		Entries: entries, Commit: n.log.commit, Round: n.leadership.rounds.last(),
	})
	p.next += uint64(len(entries))
	for i := range entries {
		p.sent += len(entries[i].Data)
	}
}

// sendKeepAlive keeps a peer from campaigning while it installs a snapshot. The
// position before the first entry matches every log.
func (n *Node) sendKeepAlive(p *peer) {
	n.send(Message{Kind: AppendRequest, To: p.id, Round: n.leadership.rounds.last()})
}

// sendSnapshotIfReachable sends a snapshot to a reachable peer. An unreachable
// peer gets keep-alives until it responds: a snapshot sent to it would be wasted,
// and once the peer returned it would have to wait for the resend interval.
func (n *Node) sendSnapshotIfReachable(p *peer, heartbeat bool) {
	switch {
	case n.reachable(p):
		n.sendSnapshot(p)
	case heartbeat:
		n.sendKeepAlive(p)
	}
}

func (n *Node) sendSnapshot(p *peer) {
	p.state = snapshotting
	p.snapshot = n.snapshot.Index
	p.snapshotSent = n.leadership.rounds.lastAt()
	s := n.snapshot
	n.send(Message{Kind: SnapshotRequest, To: p.id, Round: n.leadership.rounds.last(), Snapshot: &s})
}

// resendLateSnapshots resends snapshots that were not confirmed in time.
// Without it, one lost message would leave a member behind permanently.
func (n *Node) resendLateSnapshots() {
	for i := range n.leadership.peers {
		p := &n.leadership.peers[i]
		if p.state == snapshotting && n.leadership.rounds.lastAt().Sub(p.snapshotSent) >= snapshotResendFactor*n.timing.ElectionMin {
			n.sendSnapshot(p)
		}
	}
}

// broadcastCommit sends a new commit index to the peers immediately. A change
// then takes effect one round trip after it was accepted, instead of at the next
// heartbeat.
func (n *Node) broadcastCommit() {
	for i := range n.leadership.peers {
		if p := &n.leadership.peers[i]; p.state == streaming {
			n.sendAppend(p, true)
		}
	}
}

// broadcastEntries sends new entries to all peers that are not paused.
func (n *Node) broadcastEntries() {
	for i := range n.leadership.peers {
		n.sendAppend(&n.leadership.peers[i], false)
	}
}
