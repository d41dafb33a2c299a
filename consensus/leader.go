package consensus

import "time"

// leadership is the state of a leader in its term.
type leadership struct {
	peers       []peer // voters and learners but for the leader, in the order of the configuration
	heartbeatAt time.Time
	rounds      rounds
	lease       lease
	termStart   uint64 // index of the Empty entry of this term
	uncommitted int    // bytes of this term's proposals that are not committed
	reads       []pendingRead
	transfer    transfer
}

// peer is another member as the leader follows it.
type peer struct {
	id    ID
	voter bool
	progress
}

func (l *leadership) peer(id ID) *peer {
	for i := range l.peers {
		if l.peers[i].id == id {
			return &l.peers[i]
		}
	}
	return nil
}

func (l *leadership) nextTick(t Timing) time.Time {
	next := l.heartbeatAt
	if deadline := l.rounds.confirmedAt.Add(t.ElectionMin); deadline.Before(next) {
		next = deadline
	}
	return next
}

func (n *Node) becomeLeader(now time.Time) {
	n.role = Leader
	n.leader = n.id
	n.ballot = ballot{}
	n.lead = leadership{termStart: n.log.last().index + 1}
	n.lead.rounds.confirmedAt = now
	n.followPeers()
	n.appendOwn(Entry{Kind: Empty})
	n.heartbeat(now)
}

// leaveLeadership ends the leader's role. Whoever was told of the lease may
// rely on it to its end, so this node stays out of elections until then.
func (n *Node) leaveLeadership(now time.Time) {
	if n.refuseUntil.Before(n.lead.lease.until) {
		n.refuseUntil = n.lead.lease.until
	}
	n.lead = leadership{}
	n.resetElection(now)
}

// followPeers brings the followed peers in line with the configuration.
func (n *Node) followPeers() {
	config := n.configs.current()
	var peers []peer
	for _, m := range config.Members() {
		if m.ID == n.id {
			continue
		}
		p := peer{id: m.ID, progress: progress{next: n.log.last().index + 1}}
		if old := n.lead.peer(m.ID); old != nil {
			p = *old
		}
		p.voter = config.Voter(m.ID)
		peers = append(peers, p)
	}
	n.lead.peers = peers
}

// appendOwn appends an entry of the leader's own term.
func (n *Node) appendOwn(e Entry) Entry {
	e.Index = n.log.last().index + 1
	e.Term = n.term
	n.log.append(e)
	return e
}

func (n *Node) tickLeader(now time.Time) {
	if now.Sub(n.lead.rounds.confirmedAt) >= n.timing.ElectionMin {
		// No majority confirmed a heartbeat sent lately: the leader is cut off,
		// or has just woken from a freeze, and another may lead already.
		n.becomeFollower(now, n.term, "")
		return
	}
	n.tickTransfer(now)
	if n.role == Leader && !now.Before(n.lead.heartbeatAt) {
		n.heartbeat(now)
	}
}

// heartbeat starts a new round to all peers.
func (n *Node) heartbeat(now time.Time) {
	n.lead.heartbeatAt = now.Add(n.timing.Heartbeat)
	n.lead.rounds.start(now, n.timing.ElectionMin)
	n.resendLateSnapshots()
	for i := range n.lead.peers {
		n.sendAppend(&n.lead.peers[i], true)
	}
	n.confirmRounds(now)
}

// handleAcknowledgement takes in the answer to an append or a snapshot.
func (n *Node) handleAcknowledgement(now time.Time, m Message) {
	p := n.lead.peer(m.From)
	if p == nil {
		return
	}
	if at, ok := n.lead.rounds.sentAt(m.Round); ok && m.Round > p.round {
		p.round, p.confirmedAt = m.Round, at
	}
	n.confirmRounds(now)
	if m.Reject {
		if p.rejected(m.Index, m.Hint) {
			n.sendAppend(p, true)
		}
		return
	}
	if m.Index > n.log.last().index {
		return // claims entries that this leader never had
	}
	if p.matched(m.Index) && n.advanceCommit() {
		n.announceCommit()
	}
	n.sendAppend(p, false)
	n.tickTransfer(now)
}

// advanceCommit commits what a majority holds. Only an entry of the leader's own
// term is committed by counting: an older one that a majority holds may still
// be replaced by another leader, unless a newer one is committed above it.
func (n *Node) advanceCommit() bool {
	index := n.majorityIndex()
	if index <= n.log.commit {
		return false
	}
	if term, ok := n.log.termAt(index); !ok || term != n.term {
		return false
	}
	for _, e := range n.log.between(max(n.log.commit, n.lead.termStart), index) {
		if e.Kind == Proposal {
			n.lead.uncommitted -= len(e.Data)
		}
	}
	n.log.commit = index
	return true
}

// majorityIndex returns the highest index that a majority of the voters has
// synced, the leader's own disk included.
func (n *Node) majorityIndex() uint64 {
	matches := make([]uint64, 0, len(n.lead.peers)+1)
	if n.configs.current().Voter(n.id) {
		matches = append(matches, n.log.stable)
	}
	for i := range n.lead.peers {
		if n.lead.peers[i].voter {
			matches = append(matches, n.lead.peers[i].match)
		}
	}
	return majorityOf(matches)
}
