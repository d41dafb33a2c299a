package consensus

import (
	"time"

	"github.com/cockroachdb/errors"
)

// heardLeader notes a sign of life of the leader of this term.
func (n *Node) heardLeader(now time.Time, leader ID) error {
	if n.role == Leader {
		return errors.Newf("two leaders in term %d: %s and %s", n.term, n.id, leader)
	}
	n.becomeFollower(now, n.term, leader)
	n.refuseUntil = now.Add(n.timing.ElectionMin)
	n.resetElection(now)
	return nil
}

func (n *Node) handleAppend(now time.Time, m Message) error {
	if err := n.heardLeader(now, m.From); err != nil {
		return err
	}
	answer := Message{Kind: AppendResponse, To: m.From, Round: m.Round}
	switch {
	case n.received != nil:
		// Entries behind a snapshot that is not installed yet could be synced
		// before it. The leader sends them again.
		answer.Reject, answer.Index, answer.Hint = true, m.Index, n.log.commit
	case m.Index < n.log.commit:
		// The committed prefix is equal on both sides.
		answer.Index = n.log.commit
	case !n.log.matches(position{m.Index, m.LogTerm}):
		answer.Reject, answer.Index = true, m.Index
		answer.Hint = n.log.conflictHint(position{m.Index, m.LogTerm})
	default:
		last, err := n.accept(m)
		if err != nil {
			return err
		}
		answer.Index = last
	}
	n.send(answer)
	return nil
}

// accept merges the entries of a message that matches, and returns the last
// index that is now known to equal the leader's log.
func (n *Node) accept(m Message) (uint64, error) {
	if err := checkContiguous(m.Index, m.Entries); err != nil {
		return 0, err
	}
	added, err := n.log.merge(m.Entries)
	if err != nil {
		return 0, err
	}
	if len(added) > 0 {
		n.configs.truncate(added[0].Index)
		if err := n.configs.record(added); err != nil {
			return 0, err
		}
	}
	last := m.Index + uint64(len(m.Entries))
	n.log.commit = max(n.log.commit, min(m.Commit, last))
	return last, nil
}

func (n *Node) handleSnapshot(now time.Time, m Message) error {
	if err := n.heardLeader(now, m.From); err != nil {
		return err
	}
	if m.Snapshot == nil || n.received != nil {
		return nil
	}
	s := *m.Snapshot
	p := position{s.Index, s.Term}
	switch {
	case s.Index <= n.log.commit:
	case n.log.matches(p):
		n.log.commit = s.Index
	default:
		n.install(s)
	}
	n.send(Message{Kind: SnapshotResponse, To: m.From, Round: m.Round, Index: n.log.commit})
	return nil
}

// install replaces the log by a snapshot. The answer leaves only after the
// driver has synced it.
func (n *Node) install(s Snapshot) {
	n.received = &s
	n.snapshot = s
	n.log.reset(position{s.Index, s.Term})
	n.configs.reset(s.Configuration)
}
