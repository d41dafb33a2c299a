package forward

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"celeryport/event"
	"celeryport/loadshare"
)

// tellPause gathers changes of the loads that come close together into one
// datagram. It is a third of the time that an engine needs to read a usual prompt.
const tellPause = 10 * time.Millisecond

// ShareLoads tells the other instances what this one has under way and takes in
// what they tell, until ctx ends. conn is a socket at the control address.
func (s *Server) ShareLoads(ctx context.Context, conn net.PacketConn) error {
	go s.hearLoads(conn)
	defer func() { _ = conn.Close() }() // ends hearLoads
	view := s.options.Plane.View()
	teller := loadshare.NewTeller(loadshare.KeyOf(fmt.Sprintf("%s/%d", s.options.Process.Name, view.Incarnation)))
	timer := time.NewTicker(loadshare.FullInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-s.fleet.news:
			if !pause(ctx, tellPause) {
				return nil
			}
		}
		if report := teller.Next(time.Now(), s.fleet.ownLoads()); report != nil {
			s.tell(conn, report.Encode(s.options.Process.InstanceKey))
		}
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// tell sends a datagram to all other instances that take calls. A failed send is
// made good by the next full report.
func (s *Server) tell(conn net.PacketConn, data []byte) {
	view := s.options.Plane.View()
	for i := range view.Instances {
		other := &view.Instances[i]
		if other.Address == "" || other.Name == s.options.Process.Name {
			continue
		}
		if address, err := netip.ParseAddrPort(other.ControlAddress); err == nil {
			_, _ = conn.WriteTo(data, net.UDPAddrFromAddrPort(address)) // see above
		}
	}
}

// largestDatagram is what one report of 4,000 loaded upstreams takes.
const largestDatagram = 64 << 10

func (s *Server) hearLoads(conn net.PacketConn) {
	buffer := make([]byte, largestDatagram)
	for {
		n, from, err := conn.ReadFrom(buffer)
		if err != nil {
			return // closed
		}
		report, err := loadshare.Decode(s.options.Process.InstanceKey, buffer[:n])
		if err != nil {
			eventForeignDatagram.Log(s.options.Log, event.Fields{"from": from.String(), "error": err.Error()})
			continue
		}
		s.fleet.heard(time.Now(), report)
	}
}
