package forward

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"time"

	"celeryport/datagram"
	"celeryport/membership"
	"celeryport/throttle"
)

// gossipInterval is how often an instance sends its known rates to a randomly chosen other
// instance. This repairs the effect of lost datagrams and informs new instances.
const gossipInterval = time.Second

// shareRates exchanges named rates with the other instances until ctx ends: changes received
// here go to all instances at once, and all known rates go to one of them at intervals.
func (s *Server) shareRates(ctx context.Context, conn net.PacketConn) {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.fleet.rates.changed:
			s.broadcastRates(conn)
		case now := <-ticker.C:
			s.gossipRates(now, conn)
		}
	}
}

// broadcastRates sends the rate changes received by this instance to all other instances.
func (s *Server) broadcastRates(conn net.PacketConn) {
	f := s.fleet
	f.mu.Lock()
	changes := f.rates.limiter.TakeChanges()
	f.mu.Unlock()
	now := time.Now()
	peering := s.peering()
	s.sendRates(now, conn, peering.Peers(), datagram.Rates, changes, false)
	s.sendRates(now, conn, peering.Relays(uint32(now.UnixMilli())), datagram.RatesToRelay, changes, false)
}

// gossipRates sends all known rates to one other instance and requests those missing here. An
// instance that knows no rates sends a request too: otherwise it could stay uninformed for many
// seconds, until an informed instance happens to choose it.
func (s *Server) gossipRates(now time.Time, conn net.PacketConn) {
	f := s.fleet
	f.mu.Lock()
	facts := f.rates.limiter.Facts(now)
	f.mu.Unlock()
	s.options.Metrics.Resting.Set(float64(f.resting(now)))
	s.options.Metrics.Limited.Set(float64(limitedOf(facts)))
	if peer := s.randomPeer(); peer != nil {
		if address, err := netip.ParseAddrPort(peer.ControlAddress); err == nil {
			s.sendRates(now, conn, []netip.AddrPort{address}, datagram.Rates, facts, true)
		}
	}
}

// randomPeer returns a random other instance that accepts calls, or nil if there is none.
func (s *Server) randomPeer() *membership.Instance {
	var peers []*membership.Instance
	instances := s.options.Plane.View().Instances
	for i := range instances {
		other := &instances[i]
		if other.Address != "" && other.State != membership.Gone && other.Name != s.options.Process.Name {
			peers = append(peers, other)
		}
	}
	if len(peers) == 0 {
		return nil
	}
	return peers[int(s.draw()*float64(len(peers)))]
}

func limitedOf(facts []throttle.Fact) int {
	limited := 0
	for i := range facts {
		if facts[i].Named {
			limited++
		}
	}
	return limited
}

// sendRates sends facts in as many datagrams as needed. If asks is set, each datagram requests
// the facts that are missing here, and one is sent even without facts.
func (s *Server) sendRates(now time.Time, conn net.PacketConn, to []netip.AddrPort, kind datagram.Kind, facts []throttle.Fact, asks bool) {
	for chunk := range slices.Chunk(facts, throttle.MaxFactsPerMessage) {
		message := throttle.Message{WantsReply: asks, Facts: chunk}
		s.sendTo(conn, to, kind, message.Encode(now))
	}
	if asks && len(facts) == 0 {
		message := throttle.Message{WantsReply: true}
		s.sendTo(conn, to, kind, message.Encode(now))
	}
}

// handleRates merges a rates message, relays it within the own availability zone if it is marked
// for that, and answers a request with the facts that the sender lacks.
func (s *Server) handleRates(from net.Addr, kind datagram.Kind, content []byte) error {
	now := time.Now()
	message, err := throttle.Decode(now, content)
	if err != nil {
		return err
	}
	f := s.fleet
	f.mu.Lock()
	missing := f.rates.limiter.Merge(now, message.Facts)
	f.mu.Unlock()
	if !message.WantsReply {
		missing = nil
	}
	s.arbitration.mu.Lock()
	conn := s.arbitration.conn
	s.arbitration.mu.Unlock()
	if kind == datagram.RatesToRelay {
		s.sendRates(now, conn, s.peering().Peers(), datagram.Rates, message.Facts, false)
	}
	s.sendRates(now, conn, []netip.AddrPort{addressOf(from)}, datagram.Rates, missing, false)
	return nil
}
