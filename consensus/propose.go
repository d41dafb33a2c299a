package consensus

import "time"

const (
	// MaxProposal is the maximum size of one proposal's data, in bytes.
	MaxProposal = 4 << 20
	// maxUncommitted and maxUncommittedBytes limit the proposals that a leader
	// without a majority accumulates in memory before it steps down. A single
	// proposal is accepted regardless of maxUncommittedBytes.
	maxUncommitted      = 4096
	maxUncommittedBytes = 16 << 20
)

// Propose appends data to the log and returns its index and term. The proposal
// is accepted once an entry with this index and term is committed. It is
// definitively rejected once a different entry is committed at that index. Until
// then its outcome is unknown, even if this node is no longer the leader: the
// next leader may still commit it. If Propose returns an error, nothing was
// appended.
func (n *Node) Propose(now time.Time, data []byte) (index, term uint64, err error) {
	n.startTimers(now)
	if err := n.checkCanPropose(); err != nil {
		return 0, 0, err
	}
	if len(data) > MaxProposal {
		return 0, 0, refuse(RefusedTooLarge)
	}
	if n.leadership.uncommitted > 0 && n.leadership.uncommitted+len(data) > maxUncommittedBytes {
		return 0, 0, refuse(RefusedBusy)
	}
	n.leadership.uncommitted += len(data)
	e := n.appendOwn(Entry{Kind: Proposal, Data: data})
	n.broadcastEntries()
	return e.Index, e.Term, nil
}

func (n *Node) checkCanPropose() error {
	switch {
	case n.role != Leader:
		return &NotLeaderError{Leader: n.leader}
	case n.leadership.transfer.to != "":
		return refuse(RefusedTransfer)
	case n.log.last().index-n.log.commit >= maxUncommitted:
		return refuse(RefusedBusy)
	}
	return nil
}
