package consensus

import "time"

type ballotKind uint8

const (
	// ballotPreVote asks whether an election could succeed, without starting a
	// new term. Without the pre-vote, a voter that was partitioned for an hour
	// would return with a high term and depose a working leader.
	ballotPreVote ballotKind = iota + 1
	ballotVote
	// ballotForced is started on request of the leader, which has released its
	// lease.
	ballotForced
)

// ballot holds the responses to a pre-vote or vote in progress.
type ballot struct {
	kind     ballotKind
	granted  map[ID]bool
	rejected map[ID]bool
	// votes are those granted to this node in its term by an earlier ballot. Voters whose disks are slow
	// may answer a vote request only after the candidate has begun to ask again.
	votes map[ID]bool
}

func (n *Node) campaign(now time.Time, kind ballotKind) {
	n.leader = ""
	n.role = Candidate
	next := ballot{kind: kind, granted: map[ID]bool{n.id: true}, rejected: map[ID]bool{}}
	if kind == ballotPreVote {
		next.votes = n.ballot.termVotes()
	}
	n.ballot = next
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
	n.tallyBallot(now)
}

func (n *Node) tallyBallot(now time.Time) {
	config := n.configs.current()
	granted, rejected := n.countVoters(n.ballot.granted), n.countVoters(n.ballot.rejected)
	switch {
	case granted >= config.Majority() && n.ballot.kind == ballotPreVote:
		n.campaign(now, ballotVote)
	case granted >= config.Majority():
		n.becomeLeader(now)
	case rejected >= config.Majority():
		n.becomeFollower(now, n.term, "")
	}
}

// countVoters returns how many voters of the current configuration are in a set.
func (n *Node) countVoters(set map[ID]bool) int {
	count := 0
	for _, m := range n.configs.current().Voters {
		if set[m.ID] {
			count++
		}
	}
	return count
}

// becomeFollower ends the node's present role and sets the known leader, empty if
// there is none. A higher term also clears the vote of the old term.
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
	granted := m.Term > n.term && n.canGrantVote(now, m)
	response := Message{Kind: PreVoteResponse, To: m.From, Term: n.term, Reject: !granted}
	if granted {
		response.Term = m.Term
	}
	n.send(response)
}

// handleVote responds to a vote request for the node's current term. Step has
// already updated the term.
func (n *Node) handleVote(now time.Time, m Message) {
	available := n.vote == "" || n.vote == m.From
	granted := available && n.leader == "" && n.canGrantVote(now, m)
	if n.vote == m.From {
		granted = true // duplicate request: the first response may have been lost
	}
	if granted && n.vote == "" {
		n.vote = m.From
		n.resetElection(now)
	}
	n.send(Message{Kind: VoteResponse, To: m.From, Reject: !granted})
}

// canGrantVote reports whether the candidate's log is at least as up to date as
// this node's, and no leader can hold a lease that depends on this node.
func (n *Node) canGrantVote(now time.Time, m Message) bool {
	if !m.Force && n.leaseGuard(now) {
		return false
	}
	return position{m.Index, m.LogTerm}.atLeast(n.log.last())
}

// leaseGuard reports whether this node must not take part in elections. A
// leader's lease depends on it: each voter that confirmed a heartbeat rejects
// all other candidates for ElectionMin, which is longer than the lease.
func (n *Node) leaseGuard(now time.Time) bool {
	return n.role == Leader || now.Before(n.refuseUntil)
}

func (n *Node) handleVoteResponse(now time.Time, m Message) {
	if n.role == Candidate && m.Kind == VoteResponse && !m.Reject && n.ballot.votes != nil {
		n.ballot.votes[m.From] = true
		if n.countVoters(n.ballot.votes) >= n.configs.current().Majority() {
			n.becomeLeader(now)
		}
		return
	}
	if n.role != Candidate || !n.ballot.expects(m.Kind) {
		return
	}
	if m.Kind == PreVoteResponse && !m.Reject && m.Term != n.term+1 {
		return // response to an earlier pre-vote
	}
	if m.Reject {
		n.ballot.rejected[m.From] = true
	} else {
		n.ballot.granted[m.From] = true
	}
	n.tallyBallot(now)
}

func (b *ballot) expects(kind MessageKind) bool {
	if kind == PreVoteResponse {
		return b.kind == ballotPreVote
	}
	return b.kind == ballotVote || b.kind == ballotForced
}

// termVotes returns the votes granted in the current term of a candidate, nil if it has not asked for any.
func (b *ballot) termVotes() map[ID]bool {
	if b.kind == ballotVote || b.kind == ballotForced {
		return b.granted
	}
	return b.votes
}
