package consensus

import (
	"time"

	"github.com/cockroachdb/errors"
)

// recordLeaderContact records a message from the leader of the current term and
// restarts the timers that depend on it.
func (n *Node) recordLeaderContact(now time.Time, leader ID) error {
	if n.role == Leader {
		return errors.Newf("two leaders in term %d: %s and %s", n.term, n.id, leader)
	}
	n.becomeFollower(now, n.term, leader)
	n.refuseUntil = now.Add(n.timing.ElectionMin)
	n.resetElection(now)
	return nil
}

func (n *Node) handleAppend(now time.Time, m Message) error {
	if err := n.recordLeaderContact(now, m.From); err != nil {
		return err
	}
	response := Message{Kind: AppendResponse, To: m.From, Round: m.Round}
	switch {
	case n.received != nil:
		// Entries that follow a snapshot must not be synced before the
		// snapshot is installed. The leader sends them again.
		response.Reject, response.Index, response.Hint = true, m.Index, n.log.commit
	case m.Index < n.log.commit:
		// Both logs have the same committed prefix.
		response.Index = n.log.commit
	case !n.log.matches(position{m.Index, m.LogTerm}):
		response.Reject, response.Index = true, m.Index
		response.Hint = n.log.conflictHint(position{m.Index, m.LogTerm})
	default:
		last, err := n.accept(m)
		if err != nil {
			return err
		}
		response.Index = last
	}
	n.send(response)
	return nil
}

// accept merges the entries of a matching message into the log. It returns the
// last index at which the log is known to match the leader's log.
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
	if err := n.recordLeaderContact(now, m.From); err != nil {
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

// install replaces the log with a snapshot. The response is sent only after the
// driver has synced the snapshot.
func (n *Node) install(s Snapshot) {
	n.received = &s
	n.snapshot = s
	n.log.reset(position{s.Index, s.Term})
	n.configs.reset(s.Configuration)
}
