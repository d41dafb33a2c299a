package forward

import (
	"net"
	"net/netip"
	"slices"

	"celeryport/arbiter"
	"celeryport/datagram"
	"celeryport/membership"
)

// withdrawAsk tells the arbiter that its answer to an ask is not awaited any more, since it was silent or
// the caller has left. A silent one that goes on finds the ask among the datagrams that have arrived
// meanwhile. It would count engines as taken for a prompt that was placed elsewhere, or that nobody awaits.
func (s *Server) withdrawAsk(chosen *membership.Instance, id string) {
	withdrawal := &arbiter.Withdrawal{ID: id}
	if chosen.Name == s.options.Process.Name {
		s.handleWithdrawal(withdrawal)
		return
	}
	if to, err := netip.ParseAddrPort(chosen.ControlAddress); err == nil {
		s.sendSealed(net.UDPAddrFromAddrPort(to), datagram.ArbiterWithdrawal, withdrawal)
	}
}

// withdrawGrant tells the arbiter that the engines which it granted to the call are free, because its caller has
// left. Otherwise they would count as reading the prompt until the predicted end.
func (x *exchange) withdrawGrant() {
	if x.lastAsk == "" {
		return
	}
	instances := x.server.options.Plane.View().Instances
	if at := slices.IndexFunc(instances, func(i membership.Instance) bool { return i.Name == x.arbiter }); at >= 0 {
		x.server.withdrawAsk(&instances[at], x.lastAsk)
	}
}

// handleWithdrawal forgets an ask and what was granted to it.
func (s *Server) handleWithdrawal(w *arbiter.Withdrawal) {
	a := s.arbitration
	a.mu.Lock()
	a.queue.Withdraw(w.ID)
	delete(a.askers, w.ID)
	a.mu.Unlock()
	s.fleet.revokeGrant(w.ID)
}
