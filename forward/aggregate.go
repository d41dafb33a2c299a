package forward

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"time"

	"celeryport/clock"
	"celeryport/datagram"
	"celeryport/loadshare"
	"celeryport/membership"
)

const (
	// aggregatePauseEach is what each instance of the fleet adds to the pause between two
	// reports of a zone: so an instance gets no more of them the larger the fleet is.
	aggregatePauseEach = 60 * time.Microsecond
	// peerKept is how long an instance of the own zone that was heard counts as there:
	// two full reports may be lost.
	peerKept = 2*loadshare.FullInterval + 100*time.Millisecond
	// aggregateAfter is how long an instance that has started listens before it sums up its
	// zone: until it has heard a full report of each other one. Its zone would else look
	// idle.
	aggregateAfter = loadshare.FullInterval + 50*time.Millisecond
)

// aggregateZone tells the other availability zones what all instances of this one have
// under way, whenever that falls to this instance. Each zone gets it through one of its
// instances, which sends it on, so that it crosses to each zone once.
func (s *Server) aggregateZone(ctx context.Context, conn net.PacketConn) {
	process := s.options.Process
	id := fmt.Sprintf("%s/%d for its zone", process.Name, s.options.Plane.View().Incarnation)
	reporter := loadshare.NewReporter(loadshare.KeyOf(id))
	timer := time.NewTicker(loadshare.FullInterval)
	defer timer.Stop()
	aggregates := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			// Looked at with each full report only: all instances of the zone hear of each
			// change, and one of them needs to act.
			if aggregates = s.aggregates(time.Now()); !aggregates {
				reporter.Restart()
				continue
			}
		case <-s.fleet.zoneNews:
			if !aggregates {
				continue
			}
			if !clock.Pause(ctx, time.Duration(len(s.options.Plane.View().Instances))*aggregatePauseEach) {
				return
			}
		}
		now := time.Now()
		if report := reporter.Next(now, s.fleet.zoneLoads(now)); report != nil {
			report.Zone = loadshare.KeyOf(process.AvailabilityZone)
			_, relays := recipients(s.options.Plane.View().Instances, process, report.Sequence)
			s.sendTo(conn, relays, datagram.LoadsToRelay, report.Encode())
		}
	}
}

// aggregates reports whether it falls to this instance to sum up its zone.
func (s *Server) aggregates(now time.Time) bool {
	process, instances := s.options.Process, s.options.Plane.View().Instances
	heard := s.fleet.peersSince(now.Add(-peerKept))
	return now.Sub(s.fleet.began) >= aggregateAfter &&
		aggregatorOf(instances, process.Name, process.AvailabilityZone, heard) == process.Name
}

// aggregatorOf names the instance that sums up a zone: the first in an order that all of
// them know, of those that this one has heard just now, itself included. When the
// aggregator dies, the next one notices by its silence, before control does.
func aggregatorOf(instances []membership.Instance, self, zone string, heard map[netip.AddrPort]bool) string {
	var there []string
	for i := range instances {
		one := &instances[i]
		if one.Address == "" || one.AvailabilityZone != zone || one.State == membership.Gone {
			continue
		}
		if address, err := netip.ParseAddrPort(one.ControlAddress); one.Name == self || err == nil && heard[address] {
			there = append(there, one.Name)
		}
	}
	if len(there) == 0 {
		return ""
	}
	return slices.MaxFunc(there, func(a, b string) int {
		return cmp.Or(cmp.Compare(weightFor(a, 0), weightFor(b, 0)), cmp.Compare(a, b))
	})
}

// peersSince returns the instances of the own zone that were heard since a moment, and
// forgets the others.
func (f *fleet) peersSince(since time.Time) map[netip.AddrPort]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	heard := make(map[netip.AddrPort]bool, len(f.peers))
	for address, at := range f.peers {
		if at.Before(since) {
			delete(f.peers, address)
			continue
		}
		heard[address] = true
	}
	return heard
}

// addressOf returns the address of a sender; the zero one if it has none.
func addressOf(from net.Addr) netip.AddrPort {
	if udp, ok := from.(*net.UDPAddr); ok {
		address := udp.AddrPort()
		return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
	}
	return netip.AddrPort{}
}
