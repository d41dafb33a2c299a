package consensus

import "time"

// Status is what a node knows of itself and, as the leader, of the others.
type Status struct {
	ID            ID
	Role          Role
	Term          uint64
	Leader        ID
	Commit        uint64
	Applied       uint64
	Last          uint64
	Snapshot      uint64 // index of the newest snapshot
	Configuration Configuration
	ConfigPending bool         // the configuration in force is not committed yet
	Peers         []PeerStatus // of the leader only
	LeaseUntil    time.Time    // end of the leader's lease; zero when this node does not lead
}

// PeerStatus is another member as the leader sees it.
type PeerStatus struct {
	ID       ID
	Voter    bool
	Match    uint64 // last index known to be synced there
	Snapshot bool   // it is being sent a snapshot
}

// Status returns the present state. LeaseUntil must be compared with a clock
// read at the time of use, see HasLease.
func (n *Node) Status() Status {
	config := n.configs.current()
	s := Status{
		ID: n.id, Role: n.publicRole(), Term: n.term, Leader: n.leader,
		Commit: n.log.commit, Applied: n.log.applied, Last: n.log.last().index,
		Snapshot: n.snapshot.Index, Configuration: *config,
		ConfigPending: n.configs.lastIndex() > n.log.commit,
		LeaseUntil:    n.leaseUntil(),
	}
	for i := range n.lead.peers {
		p := &n.lead.peers[i]
		s.Peers = append(s.Peers, PeerStatus{p.id, p.voter, p.match, p.state == snapshotting})
	}
	return s
}
