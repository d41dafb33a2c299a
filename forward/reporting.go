package forward

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"celeryport/arbiter"
	"celeryport/clock"
	"celeryport/datagram"
	"celeryport/event"
	"celeryport/loadshare"
)

// reportPause gathers changes of the loads that come close together into one datagram.
// It is short: instances that hear late of a call place theirs at the same engine.
const reportPause = 2 * time.Millisecond

// ShareLoads tells the other instances what this one has under way and takes in
// what they tell, until ctx ends. conn is a socket at the control address.
func (s *Server) ShareLoads(ctx context.Context, conn net.PacketConn) error {
	s.arbitration.mu.Lock()
	s.arbitration.conn = conn
	s.arbitration.mu.Unlock()
	go s.hear(conn)
	go s.arbitrate(ctx)
	go s.aggregateZone(ctx, conn)
	go s.shareRates(ctx, conn)
	defer func() { _ = conn.Close() }() // ends hear
	view := s.options.Plane.View()
	reporter := loadshare.NewReporter(loadshare.KeyOf(fmt.Sprintf("%s/%d", s.options.Process.Name, view.Incarnation)))
	go s.pollEngines(ctx)
	timer := time.NewTicker(loadshare.FullInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-s.fleet.news:
			if !clock.Pause(ctx, reportPause) {
				return nil
			}
		}
		now := time.Now()
		if report := reporter.Next(now, s.fleet.ownLoads(now)); report != nil {
			s.sendReport(conn, report)
		}
	}
}

// sendReport sends a report to the other instances of the own availability zone that take
// calls. A failed send is made good by the next full report.
func (s *Server) sendReport(conn net.PacketConn, report *loadshare.Report) {
	peers, _ := recipients(s.options.Plane.View().Instances, s.options.Process, report.Sequence)
	s.sendTo(conn, peers, datagram.Loads, report.Encode())
}

// relay sends a report of another zone on within the own one.
func (s *Server) relay(content []byte) {
	s.arbitration.mu.Lock()
	conn := s.arbitration.conn
	s.arbitration.mu.Unlock()
	peers, _ := recipients(s.options.Plane.View().Instances, s.options.Process, 0)
	s.sendTo(conn, peers, datagram.Loads, content)
}

func (s *Server) sendTo(conn net.PacketConn, to []netip.AddrPort, kind datagram.Kind, content []byte) {
	data := datagram.Seal(s.options.Process.InstanceKey, kind, content)
	for _, address := range to {
		_, _ = conn.WriteTo(data, net.UDPAddrFromAddrPort(address)) // see sendReport
	}
}

// largestDatagram is what one report of 4,000 loaded upstreams takes.
const largestDatagram = 64 << 10

// hear takes in what the other instances send.
func (s *Server) hear(conn net.PacketConn) {
	buffer := make([]byte, largestDatagram)
	for {
		n, from, err := conn.ReadFrom(buffer)
		if err != nil {
			return // closed
		}
		if err := s.take(from, buffer[:n]); err != nil {
			eventForeignDatagram.Log(s.options.Log, event.Fields{"from": from.String(), "error": err.Error()})
		}
	}
}

func (s *Server) take(from net.Addr, data []byte) error {
	kind, content, err := datagram.Open(s.options.Process.InstanceKey, data)
	if err != nil {
		return err
	}
	switch kind {
	case datagram.Loads, datagram.LoadsToRelay:
		report, err := loadshare.Decode(content)
		if err != nil {
			return err
		}
		s.fleet.heard(time.Now(), addressOf(from), report)
		if kind == datagram.LoadsToRelay {
			s.relay(content)
		}
	case datagram.Rates, datagram.RatesToRelay:
		return s.takeRates(from, kind, content)
	case datagram.Ask:
		ask, err := arbiter.DecodeRequest(content)
		if err != nil {
			return err
		}
		s.takeAsk(from, ask)
	case datagram.Answer:
		answer, err := arbiter.DecodeAnswer(content)
		if err != nil {
			return err
		}
		s.takeAnswer(answer)
	}
	return nil
}
