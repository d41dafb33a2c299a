package forward

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"time"

	"celeryport/datagram"
	"celeryport/loadshare"
	"celeryport/membership"
)

const (
	// speakPauseEach is what each instance of the fleet adds to the pause between two
	// reports of a zone: so an instance gets no more of them the larger the fleet is.
	speakPauseEach = 40 * time.Microsecond
	// mateKept is how long an instance of the own zone that was heard counts as there:
	// two full reports may be lost.
	mateKept = 2*loadshare.FullInterval + 100*time.Millisecond
	// speakAfter is how long an instance that has started listens before it speaks: until
	// it has heard a full report of each other one. Its zone would else look idle.
	speakAfter = loadshare.FullInterval + 50*time.Millisecond
)

// speakForZone tells the other availability zones what all instances of this one have
// under way, whenever that falls to this instance. Each zone gets it through one of its
// instances, which sends it on, so that it crosses to each zone once.
func (s *Server) speakForZone(ctx context.Context, conn net.PacketConn) {
	process := s.options.Process
	id := fmt.Sprintf("%s/%d for its zone", process.Name, s.options.Plane.View().Incarnation)
	teller := loadshare.NewTeller(loadshare.KeyOf(id))
	timer := time.NewTicker(loadshare.FullInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.fleet.speech:
			if !pause(ctx, time.Duration(len(s.options.Plane.View().Instances))*speakPauseEach) {
				return
			}
		}
		now := time.Now()
		instances := s.options.Plane.View().Instances
		heard := s.fleet.matesSince(now.Add(-mateKept))
		speaks := speakerOf(instances, process.Name, process.AvailabilityZone, heard) == process.Name
		if !speaks || now.Sub(s.fleet.began) < speakAfter {
			teller.Restart()
			continue
		}
		report := teller.Next(now, s.fleet.zoneLoads(now))
		if report == nil {
			continue
		}
		report.Zone = loadshare.KeyOf(process.AvailabilityZone)
		_, relays := recipients(instances, process, report.Sequence)
		s.sendTo(conn, relays, datagram.LoadsToRelay, report.Encode())
	}
}

// speakerOf names the instance that speaks for a zone: the first in an order that all of
// them know, of those that this one has heard just now, itself included. When the
// speaker dies, the next one notices by its silence, before control does.
func speakerOf(instances []membership.Instance, self, zone string, heard map[netip.AddrPort]bool) string {
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

// matesSince returns the instances of the own zone that were heard since a moment, and
// forgets the others.
func (f *fleet) matesSince(since time.Time) map[netip.AddrPort]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	heard := make(map[netip.AddrPort]bool, len(f.mates))
	for address, at := range f.mates {
		if at.Before(since) {
			delete(f.mates, address)
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
