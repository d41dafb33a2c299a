package consensus

import "time"

// leaderState is the state that a leader keeps for its term.
type leaderState struct {
	peers       []peer // all voters and learners except the leader, in configuration order
	heartbeatAt time.Time
	rounds      rounds
	lease       lease
	termStart   uint64 // index of the Empty entry of this term
	uncommitted int    // size in bytes of this term's uncommitted proposals
	reads       []pendingRead
	transfer    transfer
	stall       stall
}

// peer is another member and its replication progress.
type peer struct {
	id    ID
	voter bool
	progress
}

func (l *leaderState) peer(id ID) *peer {
	for i := range l.peers {
		if l.peers[i].id == id {
			return &l.peers[i]
		}
	}
	return nil
}

func (l *leaderState) nextTick(t Timing) time.Time {
	next := l.heartbeatAt
	if deadline := l.silentSince().Add(t.ElectionMin); deadline.Before(next) {
		next = deadline
	}
	return next
}

func (n *Node) becomeLeader(now time.Time) {
	n.role = Leader
	n.leader = n.id
	n.ballot = ballot{}
	n.leadership = leaderState{termStart: n.log.last().index + 1}
	n.leadership.rounds.confirmedAt = now
	n.updatePeers()
	n.appendOwn(Entry{Kind: Empty})
	n.heartbeat(now)
}

// leaveLeadership ends the leader role. Callers may rely on a published lease
// until it expires, so this node takes part in no election until then.
func (n *Node) leaveLeadership(now time.Time) {
	if n.refuseUntil.Before(n.leadership.lease.until) {
		n.refuseUntil = n.leadership.lease.until
	}
	n.leadership = leaderState{}
	n.resetElection(now)
}

// updatePeers updates the list of peers to match the current configuration.
func (n *Node) updatePeers() {
	config := n.configs.current()
	var peers []peer
	for _, m := range config.Members() {
		if m.ID == n.id {
			continue
		}
		p := peer{id: m.ID, progress: progress{next: n.log.last().index + 1}}
		if old := n.leadership.peer(m.ID); old != nil {
			p = *old
		}
		p.voter = config.Voter(m.ID)
		peers = append(peers, p)
	}
	n.leadership.peers = peers
}

// appendOwn appends an entry with the current term and the next index.
func (n *Node) appendOwn(e Entry) Entry {
	e.Index = n.log.last().index + 1
	e.Term = n.term
	n.log.append(e)
	return e
}

func (n *Node) tickLeader(now time.Time) {
	n.leadership.forgiveStall(now, n.timing.Heartbeat)
	if now.Sub(n.leadership.silentSince()) >= n.timing.ElectionMin {
		// No majority confirmed a recent heartbeat. The leader is partitioned,
		// and there may already be another one.
		n.becomeFollower(now, n.term, "")
		return
	}
	n.tickTransfer(now)
	if n.role == Leader && !now.Before(n.leadership.heartbeatAt) {
		n.heartbeat(now)
	}
}

// heartbeat starts a new heartbeat round with all peers.
func (n *Node) heartbeat(now time.Time) {
	n.leadership.heartbeatAt = now.Add(n.timing.Heartbeat)
	n.leadership.rounds.start(now, n.timing.ElectionMin)
	n.resendLateSnapshots()
	for i := range n.leadership.peers {
		n.sendAppend(&n.leadership.peers[i], true)
	}
	n.confirmRounds(now)
}

// handleAcknowledgement processes the response to an append or a snapshot.
func (n *Node) handleAcknowledgement(now time.Time, m Message) {
	p := n.leadership.peer(m.From)
	if p == nil {
		return
	}
	if at, ok := n.leadership.rounds.sentAt(m.Round); ok && m.Round > p.round {
		p.round, p.confirmedAt = m.Round, at
	}
	n.confirmRounds(now)
	if m.Reject {
		if p.reject(m.Index, m.Hint) {
			n.sendAppend(p, true)
		}
		return
	}
	if m.Index > n.log.last().index {
		return // acknowledges entries that this leader never had
	}
	if p.acknowledge(m.Index) && n.advanceCommit() {
		n.broadcastCommit()
	}
	n.sendAppend(p, false)
	n.tickTransfer(now)
}

// advanceCommit commits the entries that a majority has synced. Only an entry of
// the leader's own term is committed by counting replicas. An entry of an older
// term on a majority could still be replaced by another leader, unless a newer
// entry is committed after it.
func (n *Node) advanceCommit() bool {
	index := n.majorityIndex()
	if index <= n.log.commit {
		return false
	}
	if term, ok := n.log.termAt(index); !ok || term != n.term {
		return false
	}
	for _, e := range n.log.between(max(n.log.commit, n.leadership.termStart), index) {
		if e.Kind == Proposal {
			n.leadership.uncommitted -= len(e.Data)
		}
	}
	n.log.commit = index
	return true
}

// majorityIndex returns the highest index that a majority of the voters has
// synced, including the leader itself.
func (n *Node) majorityIndex() uint64 {
	matches := make([]uint64, 0, len(n.leadership.peers)+1)
	if n.configs.current().Voter(n.id) {
		matches = append(matches, n.log.stable)
	}
	for i := range n.leadership.peers {
		if n.leadership.peers[i].voter {
			matches = append(matches, n.leadership.peers[i].match)
		}
	}
	return majorityOf(matches)
}
