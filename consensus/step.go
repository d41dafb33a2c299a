package consensus

import "time"

// Step takes in a message. A message that is late, doubled or not for this node
// is dropped without an error. An error means that this node's log contradicts
// the group's: the driver must stop the node, because going on could revert
// what was accepted.
//
// now must be read after the message was received. Were it older than the
// message, a process that froze in between would promise the leader less time
// than the leader counts on.
func (n *Node) Step(now time.Time, m Message) error {
	n.start(now)
	if m.To != n.id || m.From == n.id {
		return nil
	}
	if m.Term > n.term && !n.adoptTerm(now, m) {
		return nil
	}
	if m.Term < n.term {
		n.answerOldTerm(m)
		return nil
	}
	return n.dispatch(now, m)
}

// adoptTerm brings the node up to the term of a message, or reports that the
// message must be dropped.
func (n *Node) adoptTerm(now time.Time, m Message) bool {
	switch m.Kind {
	case PreVoteRequest:
		return true
	case PreVoteResponse:
		if !m.Reject {
			return true // the term asked about, which nobody has yet
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

// answerOldTerm tells an outdated sender of the present term. Without it, a
// leader that the others left behind, and a voter with a higher term which it
// can't reach an election with, would never learn of each other.
func (n *Node) answerOldTerm(m Message) {
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
		n.handleBallotAnswer(now, m)
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
