package consensus

import "time"

// Status describes a node and, on the leader, its peers.
type Status struct {
	ID            ID
	Role          Role
	Term          uint64
	Leader        ID
	Commit        uint64
	Applied       uint64
	Last          uint64
	Snapshot      uint64 // index of the newest installed snapshot
	Configuration Configuration
	ConfigPending bool         // the current configuration is not committed yet
	Peers         []PeerStatus // only on the leader
	LeaseUntil    time.Time    // end of the lease; zero if this node is not the leader
}

// PeerStatus is the leader's view of another member.
type PeerStatus struct {
	ID       ID
	Voter    bool
	Match    uint64 // last index known to be synced on the member
	Snapshot bool   // a snapshot is being sent to the member
}

// Status returns the current state. LeaseUntil must be compared with a clock
// read at the time of use, see HasLease.
func (n *Node) Status() Status {
	config := n.configs.current()
	s := Status{
		ID: n.id, Role: n.reportedRole(), Term: n.term, Leader: n.leader,
		Commit: n.log.commit, Applied: n.log.applied, Last: n.log.last().index,
		Snapshot: n.snapshot.Index, Configuration: *config,
		ConfigPending: n.configs.lastIndex() > n.log.commit,
		LeaseUntil:    n.leaseUntil(),
	}
	for i := range n.leadership.peers {
		p := &n.leadership.peers[i]
		s.Peers = append(s.Peers, PeerStatus{p.id, p.voter, p.match, p.state == snapshotting})
	}
	return s
}
