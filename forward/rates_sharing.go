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

// gossipInterval is how often an instance tells another one, chosen at random, which rates
// upstreams name. It repairs what lost datagrams and new instances miss.
const gossipInterval = time.Second

// shareRates tells the other instances which rates upstreams name, until ctx ends: what is
// heard here at once to all, and all that is known to one of them now and then.
func (s *Server) shareRates(ctx context.Context, conn net.PacketConn) {
	timer := time.NewTicker(gossipInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.fleet.rates.news:
			s.broadcastRates(conn)
		case now := <-timer.C:
			s.gossipRates(now, conn)
		}
	}
}

// broadcastRates tells all instances what was heard here.
func (s *Server) broadcastRates(conn net.PacketConn) {
	f := s.fleet
	f.mu.Lock()
	changes := f.rates.changes
	f.rates.changes = nil
	f.mu.Unlock()
	now := time.Now()
	peers, relays := recipients(s.options.Plane.View().Instances, s.options.Process, uint32(now.UnixMilli()))
	s.sendRates(now, conn, peers, datagram.Rates, changes, false)
	s.sendRates(now, conn, relays, datagram.RatesToRelay, changes, false)
}

// gossipRates tells one other instance all that is known and asks for what is not. An instance
// that knows nothing asks too: left to those that know, it may be passed over for many seconds.
func (s *Server) gossipRates(now time.Time, conn net.PacketConn) {
	f := s.fleet
	f.mu.Lock()
	facts := f.rates.table.Facts(now)
	f.mu.Unlock()
	s.options.Metrics.resting.Set(float64(f.resting(now)))
	s.options.Metrics.limited.Set(float64(limitedOf(facts)))
	if peer := s.randomPeer(); peer != nil {
		s.sendRates(now, conn, addressesOf([]*membership.Instance{peer}), datagram.Rates, facts, true)
	}
}

// randomPeer returns one of the other instances that take calls, nil if there is none.
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

// sendRates sends facts in as many datagrams as they need. One that asks is sent even
// without facts.
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

// takeRates takes in a message of rates, sends it on within the own availability zone if it
// is meant for it, and answers with what the sender does not know if it asks.
func (s *Server) takeRates(from net.Addr, kind datagram.Kind, content []byte) error {
	now := time.Now()
	message, err := throttle.Decode(now, content)
	if err != nil {
		return err
	}
	f := s.fleet
	f.mu.Lock()
	f.rates.table.Merge(now, message.Facts)
	var missing []throttle.Fact
	if message.WantsReply {
		missing = f.rates.table.Missing(now, message.Facts)
	}
	f.mu.Unlock()
	s.arbitration.mu.Lock()
	conn := s.arbitration.conn
	s.arbitration.mu.Unlock()
	if kind == datagram.RatesToRelay {
		peers, _ := recipients(s.options.Plane.View().Instances, s.options.Process, 0)
		s.sendRates(now, conn, peers, datagram.Rates, message.Facts, false)
	}
	s.sendRates(now, conn, []netip.AddrPort{addressOf(from)}, datagram.Rates, missing, false)
	return nil
}
