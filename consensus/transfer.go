package consensus

import "time"

// transfer is a leadership transfer in progress.
type transfer struct {
	to             ID
	timeoutNowSent bool // TimeoutNow was sent
	deadline       time.Time
}

// TransferLeadership transfers the leadership to another voter. The leader stops
// accepting proposals, waits for its lease to expire, then asks the target to
// campaign. It releases the lease for the rest of its term, because the request
// may arrive late. It steps down if the target is not elected in time.
func (n *Node) TransferLeadership(now time.Time, to ID) error {
	n.startTimers(now)
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	if n.leadership.transfer.to != "" {
		return refuse(RefusedTransfer)
	}
	if to == n.id || !n.configs.current().Voter(to) {
		return refuse(RefusedNoTarget)
	}
	n.leadership.lease.released = true
	n.leadership.transfer = transfer{to: to, deadline: now.Add(n.timing.Lease + n.timing.ElectionMin)}
	n.tickTransfer(now)
	return nil
}

func (n *Node) tickTransfer(now time.Time) {
	t := &n.leadership.transfer
	switch {
	case n.role != Leader || t.to == "":
	case !now.Before(t.deadline):
		n.becomeFollower(now, n.term, "")
	case !t.timeoutNowSent && !now.Before(n.leadership.lease.until):
		p := n.leadership.peer(t.to)
		if p != nil && p.match == n.log.last().index {
			t.timeoutNowSent = true
			n.send(Message{Kind: TimeoutNow, To: t.to})
		}
	}
}
