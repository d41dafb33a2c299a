package consensus

import "time"

type ballotKind uint8

const (
	// ballotPreVote asks whether an election could succeed, without a new term.
	// Without it, a voter that was cut off for an hour would come back with a
	// high term and depose a leader that works.
	ballotPreVote ballotKind = iota + 1
	ballotVote
	// ballotForced is asked for by the leader, which has given up its lease.
	ballotForced
)

// ballot counts the answers to a running (pre-)vote.
type ballot struct {
	kind     ballotKind
	granted  map[ID]bool
	rejected map[ID]bool
}

func (n *Node) campaign(now time.Time, kind ballotKind) {
	n.leader = ""
	n.role = Candidate
	n.ballot = ballot{kind: kind, granted: map[ID]bool{n.id: true}, rejected: map[ID]bool{}}
	request := Message{Kind: PreVoteRequest, Term: n.term + 1}
	if kind != ballotPreVote {
		n.term++
		n.vote = n.id
		request = Message{Kind: VoteRequest, Term: n.term, Force: kind == ballotForced}
	}
	last := n.log.last()
	request.Index, request.LogTerm = last.index, last.term
	for _, m := range n.configs.current().Voters {
		if m.ID != n.id {
			request.To = m.ID
			n.send(request)
		}
	}
	n.countBallot(now)
}

func (n *Node) countBallot(now time.Time) {
	config := n.configs.current()
	granted, rejected := 0, 0
	for _, m := range config.Voters {
		if n.ballot.granted[m.ID] {
			granted++
		}
		if n.ballot.rejected[m.ID] {
			rejected++
		}
	}
	switch {
	case granted >= config.Majority() && n.ballot.kind == ballotPreVote:
		n.campaign(now, ballotVote)
	case granted >= config.Majority():
		n.becomeLeader(now)
	case rejected >= config.Majority():
		n.becomeFollower(now, n.term, "")
	}
}

// becomeFollower leaves whatever role the node has. An older term's leader is
// forgotten with its term.
func (n *Node) becomeFollower(now time.Time, term uint64, leader ID) {
	if n.role == Leader {
		n.leaveLeadership(now)
	}
	if term > n.term {
		n.term, n.vote = term, ""
	}
	n.role = Follower
	n.leader = leader
	n.ballot = ballot{}
}

func (n *Node) handlePreVote(now time.Time, m Message) {
	granted := m.Term > n.term && n.mayVote(now, m)
	answer := Message{Kind: PreVoteResponse, To: m.From, Term: n.term, Reject: !granted}
	if granted {
		answer.Term = m.Term
	}
	n.send(answer)
}

// handleVote answers a request of this node's own term; Step has brought the
// term up before.
func (n *Node) handleVote(now time.Time, m Message) {
	free := n.vote == "" || n.vote == m.From
	granted := free && n.leader == "" && n.mayVote(now, m)
	if n.vote == m.From {
		granted = true // a doubled request: the answer may have been lost
	}
	if granted && n.vote == "" {
		n.vote = m.From
		n.resetElection(now)
	}
	n.send(Message{Kind: VoteResponse, To: m.From, Reject: !granted})
}

// mayVote reports whether a candidate's log is new enough and no leader can
// hold a lease that rests on this node.
func (n *Node) mayVote(now time.Time, m Message) bool {
	if !m.Force && n.leaseGuard(now) {
		return false
	}
	return position{m.Index, m.LogTerm}.atLeast(n.log.last())
}

// leaseGuard reports whether this node must stay out of elections. A leader's
// lease counts on it: each voter that confirmed a heartbeat refuses every other
// candidate for ElectionMin, which is longer than the lease.
func (n *Node) leaseGuard(now time.Time) bool {
	return n.role == Leader || now.Before(n.refuseUntil)
}

func (n *Node) handleBallotAnswer(now time.Time, m Message) {
	if n.role != Candidate || !n.ballot.expects(m.Kind) {
		return
	}
	if m.Kind == PreVoteResponse && !m.Reject && m.Term != n.term+1 {
		return // of an earlier pre-vote
	}
	if m.Reject {
		n.ballot.rejected[m.From] = true
	} else {
		n.ballot.granted[m.From] = true
	}
	n.countBallot(now)
}

func (b *ballot) expects(kind MessageKind) bool {
	if kind == PreVoteResponse {
		return b.kind == ballotPreVote
	}
	return b.kind == ballotVote || b.kind == ballotForced
}
