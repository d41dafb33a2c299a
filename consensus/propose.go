package consensus

import "time"

const (
	// MaxProposal is the largest data of one proposal, in bytes.
	MaxProposal = 4 << 20
	// maxUncommitted and maxUncommittedBytes bound what a leader without a
	// majority piles up in memory before it steps down. One proposal is taken
	// whatever its size.
	maxUncommitted      = 4096
	maxUncommittedBytes = 16 << 20
)

// Propose appends data to the log and returns where. The proposal is accepted
// once an entry with this index and term is among the committed ones. It can
// never be accepted once another entry is committed at its index. Until either
// is seen its outcome is unknown, also when this node no longer leads: the next
// leader may still commit it. Errors mean that nothing was done.
func (n *Node) Propose(now time.Time, data []byte) (index, term uint64, err error) {
	n.start(now)
	if err := n.mayPropose(); err != nil {
		return 0, 0, err
	}
	if len(data) > MaxProposal {
		return 0, 0, refuse(RefusedTooLarge)
	}
	if n.lead.uncommitted > 0 && n.lead.uncommitted+len(data) > maxUncommittedBytes {
		return 0, 0, refuse(RefusedBusy)
	}
	n.lead.uncommitted += len(data)
	e := n.appendOwn(Entry{Kind: Proposal, Data: data})
	n.sendNew()
	return e.Index, e.Term, nil
}

func (n *Node) mayPropose() error {
	switch {
	case n.role != Leader:
		return &NotLeaderError{Leader: n.leader}
	case n.lead.transfer.to != "":
		return refuse(RefusedTransfer)
	case n.log.last().index-n.log.commit >= maxUncommitted:
		return refuse(RefusedBusy)
	}
	return nil
}
