package consensus

import "time"

// transfer is a handover of the leadership under way.
type transfer struct {
	to       ID
	asked    bool // TimeoutNow was sent
	deadline time.Time
}

// TransferLeadership hands the leadership to another voter. The leader takes no
// proposals from now on, lets its lease lapse and then asks the target to
// campaign. It gives up the lease for the rest of its term, because the request
// may arrive late, and steps down if the target was not elected in time.
func (n *Node) TransferLeadership(now time.Time, to ID) error {
	n.start(now)
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	if n.lead.transfer.to != "" {
		return refuse(RefusedTransfer)
	}
	if to == n.id || !n.configs.current().Voter(to) {
		return refuse(RefusedNoTarget)
	}
	n.lead.lease.given = true
	n.lead.transfer = transfer{to: to, deadline: now.Add(n.timing.Lease + n.timing.ElectionMin)}
	n.tickTransfer(now)
	return nil
}

func (n *Node) tickTransfer(now time.Time) {
	t := &n.lead.transfer
	switch {
	case n.role != Leader || t.to == "":
	case !now.Before(t.deadline):
		n.becomeFollower(now, n.term, "")
	case !t.asked && !now.Before(n.lead.lease.until):
		p := n.lead.peer(t.to)
		if p != nil && p.match == n.log.last().index {
			t.asked = true
			n.send(Message{Kind: TimeoutNow, To: t.to})
		}
	}
}
