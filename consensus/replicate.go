package consensus

const (
	// maxAppendBytes bounds the data of one append message.
	maxAppendBytes = 1 << 20
	// snapshotPatience is the number of election minimums after which a snapshot
	// that was not confirmed is sent again.
	snapshotPatience = 3
)

// sendAppend sends what a peer lacks. A heartbeat is sent also when there is
// nothing or the peer is paused; it then carries no entries.
func (n *Node) sendAppend(p *peer, heartbeat bool) {
	if p.state == snapshotting {
		if heartbeat {
			n.sendKeepAlive(p)
		}
		return
	}
	term, ok := n.log.termAt(p.next - 1)
	if !ok {
		n.offerSnapshot(p, heartbeat)
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
		Entries: entries, Commit: n.log.commit, Round: n.lead.rounds.last(),
	})
	p.next += uint64(len(entries))
	for i := range entries {
		p.sent += len(entries[i].Data)
	}
}

// sendKeepAlive keeps a peer from campaigning while it takes in a snapshot. The
// position before the first entry matches every log.
func (n *Node) sendKeepAlive(p *peer) {
	n.send(Message{Kind: AppendRequest, To: p.id, Round: n.lead.rounds.last()})
}

// offerSnapshot sends a snapshot to a peer that can be reached. One that can't
// gets keep-alives until it answers: a snapshot sent to a dead peer is wasted,
// and when the peer came back it would wait for a resend.
func (n *Node) offerSnapshot(p *peer, heartbeat bool) {
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
	p.snapshotSent = n.lead.rounds.lastAt()
	s := n.snapshot
	n.send(Message{Kind: SnapshotRequest, To: p.id, Round: n.lead.rounds.last(), Snapshot: &s})
}

// resendLateSnapshots gives up on snapshots that were lost on the way; without
// it, one lost message would leave a member behind for ever.
func (n *Node) resendLateSnapshots() {
	for i := range n.lead.peers {
		p := &n.lead.peers[i]
		if p.state == snapshotting && n.lead.rounds.lastAt().Sub(p.snapshotSent) >= snapshotPatience*n.timing.ElectionMin {
			n.sendSnapshot(p)
		}
	}
}

// announceCommit tells the peers of a new commit index at once, so that a change
// is in force a round trip after it was accepted and not a heartbeat later.
func (n *Node) announceCommit() {
	for i := range n.lead.peers {
		if p := &n.lead.peers[i]; p.state == streaming {
			n.sendAppend(p, true)
		}
	}
}

// sendNew sends new entries to all peers that are not paused.
func (n *Node) sendNew() {
	for i := range n.lead.peers {
		n.sendAppend(&n.lead.peers[i], false)
	}
}
