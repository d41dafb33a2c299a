package control

import (
	"time"

	"celeryport/consensus"
)

// leads reports whether this voter leads and has applied an entry of its own term, and
// returns that term.
func (g *group) leads() (bool, uint64) {
	if g.node == nil {
		return false, 0
	}
	s := g.node.Status()
	return s.Role == consensus.Leader && g.appliedTerm == s.Term, s.Term
}

// leaseValid reports whether it is certain that no other leader has been elected by now.
func (g *group) leaseValid(now time.Time) bool { return g.node != nil && g.node.HasLease(now) }

// voters returns the voters of the configuration in force.
func (g *group) voters() []consensus.Member {
	if g.node == nil {
		return nil
	}
	return g.node.Status().Configuration.Voters
}

// leaderAddress returns the control address of the leader, if known.
func (g *group) leaderAddress() string {
	if g.node == nil {
		return ""
	}
	s := g.node.Status()
	for _, m := range s.Configuration.Voters {
		if m.ID == s.Leader {
			return m.Address
		}
	}
	return ""
}

// handOver transfers the leadership to the voter with the most complete log, before this
// instance drains or is removed from the voters.
func (g *group) handOver(now time.Time) {
	if g.node == nil {
		return
	}
	s := g.node.Status()
	best := consensus.PeerStatus{}
	for _, p := range s.Peers {
		if p.Voter && p.Match >= best.Match {
			best = p
		}
	}
	if s.Role == consensus.Leader && best.ID != "" {
		_ = g.node.TransferLeadership(now, best.ID) // if refused, the others elect a leader after this instance has stopped
	}
}
