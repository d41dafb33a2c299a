package consensus

import "time"

// Step processes a message. A message that is outdated, duplicated or addressed
// to another node is dropped without an error. An error means that this node's
// log contradicts the group's log. The driver must then stop the node, because
// continuing could revert accepted changes.
//
// now must be read after the message was received. If it were older, a process
// that was suspended between the two would protect the leader's lease for less
// time than the leader assumes.
func (n *Node) Step(now time.Time, m Message) error {
	n.startTimers(now)
	if m.To != n.id || m.From == n.id {
		return nil
	}
	if m.Term > n.term && !n.adoptTerm(now, m) {
		return nil
	}
	if m.Term < n.term {
		n.rejectOldTerm(m)
		return nil
	}
	return n.dispatch(now, m)
}

// adoptTerm updates the node to the higher term of a message, unless that term is
// only proposed in a pre-vote. It returns false if the message must be dropped.
func (n *Node) adoptTerm(now time.Time, m Message) bool {
	switch m.Kind {
	case PreVoteRequest:
		return true
	case PreVoteResponse:
		if !m.Reject {
			return true // proposed term of a pre-vote, not adopted by any node yet
		}
	case VoteRequest:
		if !m.Force && n.leaseGuard(now) {
			return false
		}
	case AppendRequest, SnapshotRequest:
		n.becomeFollower(now, m.Term, m.From)
		return true
	}
	n.becomeFollower(now, m.Term, "")
	n.resetElection(now)
	return true
}

// rejectOldTerm sends the current term to a sender with an older term. Without
// it, a deposed leader and a voter that has a higher term, but can't win an
// election, would never learn of each other's terms.
func (n *Node) rejectOldTerm(m Message) {
	switch m.Kind {
	case PreVoteRequest:
		n.send(Message{Kind: PreVoteResponse, To: m.From, Reject: true})
	case VoteRequest:
		n.send(Message{Kind: VoteResponse, To: m.From, Reject: true})
	case AppendRequest, SnapshotRequest:
		n.send(Message{Kind: AppendResponse, To: m.From, Reject: true})
	}
}

func (n *Node) dispatch(now time.Time, m Message) error {
	switch m.Kind {
	case PreVoteRequest:
		n.handlePreVote(now, m)
	case VoteRequest:
		n.handleVote(now, m)
	case PreVoteResponse, VoteResponse:
		n.handleVoteResponse(now, m)
	case AppendRequest:
		return n.handleAppend(now, m)
	case SnapshotRequest:
		return n.handleSnapshot(now, m)
	case AppendResponse, SnapshotResponse:
		if n.role == Leader {
			n.handleAcknowledgement(now, m)
		}
	case TimeoutNow:
		n.handleTimeoutNow(now, m)
	}
	return nil
}

func (n *Node) handleTimeoutNow(now time.Time, m Message) {
	if n.role == Leader || m.From != n.leader || !n.configs.current().Voter(n.id) {
		return
	}
	n.campaign(now, ballotForced)
}
