package forward

import (
	"context"
	"net"
	"net/netip"
	"time"

	"celeryport/clock"
	"celeryport/datagram"
	"celeryport/loadshare"
)

const (
	// aggregatePausePerInstance is added for each instance of the fleet to the pause between two
	// reports of a zone, so that the rate at which an instance receives them does not grow with
	// the fleet.
	aggregatePausePerInstance = 60 * time.Microsecond
	// peerRetention is how long an instance of the own zone counts as live after its last
	// report: two full reports may be lost.
	peerRetention = 2*loadshare.FullInterval + 100*time.Millisecond
)

// aggregateZone reports the total loads of this availability zone to the other zones while this
// instance is the aggregator of the zone. Each zone receives a report through one of its
// instances, which relays it, so that it crosses to each zone once.
func (s *Server) aggregateZone(ctx context.Context, conn net.PacketConn) {
	process := s.options.Process
	reporter := s.reporters.zone
	ticker := time.NewTicker(loadshare.FullInterval)
	defer ticker.Stop()
	isAggregator := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			// Checked with each full report only: all instances of the zone receive each change,
			// and one of them has to act.
			if isAggregator = s.isAggregator(time.Now()); !isAggregator {
				reporter.Restart()
				continue
			}
		case <-s.fleet.zoneLoadsChanged:
			if !isAggregator {
				continue
			}
			if !clock.Pause(ctx, time.Duration(len(s.options.Plane.View().Instances))*aggregatePausePerInstance) {
				return
			}
		}
		now := time.Now()
		if report := reporter.Next(now, s.fleet.zoneLoads(now), true); report != nil {
			report.Zone = loadshare.KeyOf(process.AvailabilityZone)
			s.sendTo(conn, s.peering().Relays(report.Sequence), datagram.LoadsToRelay, report.Encode())
		}
	}
}

// isAggregator reports whether this instance is the aggregator of its zone. One that does not
// know the loads of its zone yet must not be: the zone would appear idle.
func (s *Server) isAggregator(now time.Time) bool {
	recent := s.fleet.peersSince(now.Add(-peerRetention))
	return s.zoneKnown(now) &&
		s.peering().Aggregates(func(candidate netip.AddrPort) bool { return recent[candidate] })
}

// peersSince returns the addresses of the instances of the own zone whose last report arrived since
// the given time, and removes the others.
func (f *fleet) peersSince(since time.Time) map[netip.AddrPort]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	recent := make(map[netip.AddrPort]bool, len(f.peers))
	for address, at := range f.peers {
		if at.Before(since) {
			delete(f.peers, address)
			continue
		}
		recent[address] = true
	}
	return recent
}

// addressOf returns the address of a sender, or the zero value if it is not a UDP address.
func addressOf(from net.Addr) netip.AddrPort {
	if udp, ok := from.(*net.UDPAddr); ok {
		address := udp.AddrPort()
		return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
	}
	return netip.AddrPort{}
}
