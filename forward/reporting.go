package forward

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/arbiter"
	"celeryport/clock"
	"celeryport/datagram"
	"celeryport/event"
	"celeryport/forward/telemetry"
	"celeryport/loadshare"
	"celeryport/resilient"
)

// reportPause collects load changes in quick succession into one datagram. It is short because
// instances that learn late of a call place their own calls on the same engine.
const reportPause = 2 * time.Millisecond

// ShareLoads exchanges loads, rates and arbitration messages with the other instances until ctx
// ends, or returns the error of the socket if it no longer receives. inner is a socket at the control
// address, which ShareLoads closes.
func (s *Server) ShareLoads(ctx context.Context, inner net.PacketConn) error {
	conn := resilient.NewPacketConn(s.options.Log, "loads", inner)
	var running sync.WaitGroup
	defer running.Wait() // the next run uses the same reporters
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.arbitration.mu.Lock()
	s.arbitration.conn = conn
	s.arbitration.mu.Unlock()
	s.startReporters()
	receiving := make(chan error, 1)
	running.Go(func() { receiving <- s.receiveDatagrams(conn) })
	running.Go(func() { s.arbitrate(ctx) })
	running.Go(func() { s.aggregateZone(ctx, conn) })
	running.Go(func() { s.shareRates(ctx, conn) })
	running.Go(func() { s.pollEngines(ctx) })
	defer func() { _ = conn.Close() }() // ends receiveDatagrams
	ticker := time.NewTicker(loadshare.FullInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-receiving:
			if ctx.Err() != nil {
				return nil // the socket was closed because of the stop
			}
			return err
		case <-ticker.C:
		case <-s.fleet.loadsChanged:
			if !clock.Pause(ctx, reportPause) {
				return nil
			}
		}
		now := time.Now()
		s.tickView(now)
		s.observeSharers(now)
		if report := s.reporters.own.Next(now, s.fleet.loadsToReport(now), s.peering().Candidate()); report != nil {
			s.sendReport(conn, report)
		}
	}
}

// sendReport sends a report to the other instances of the own availability zone that accept
// calls. The next full report compensates for a failed send.
func (s *Server) sendReport(conn net.PacketConn, report *loadshare.Report) {
	s.sendTo(conn, s.peering().Peers(), datagram.Loads, report.Encode())
}

// relay forwards a report of another zone to the instances of the own zone.
func (s *Server) relay(content []byte) {
	s.arbitration.mu.Lock()
	conn := s.arbitration.conn
	s.arbitration.mu.Unlock()
	s.sendTo(conn, s.peering().Peers(), datagram.Loads, content)
}

func (s *Server) sendTo(conn net.PacketConn, to []netip.AddrPort, kind datagram.Kind, content []byte) {
	data := datagram.Seal(s.options.Process.InstanceKey, kind, content)
	s.options.Metrics.Datagrams(kind, telemetry.DatagramSent, len(to), len(data))
	for _, address := range to {
		_, _ = conn.WriteTo(data, net.UDPAddrFromAddrPort(address)) // lost datagrams are compensated for by later ones
	}
}

// largestDatagram is the size of a report of 4,000 loaded upstreams.
const largestDatagram = 64 << 10

// receiveDatagrams handles the datagrams of the other instances until the socket is closed or no
// longer works.
func (s *Server) receiveDatagrams(conn net.PacketConn) error {
	buffer := make([]byte, largestDatagram)
	for {
		n, from, err := conn.ReadFrom(buffer)
		if err != nil {
			return errors.Wrap(err, "receive datagrams")
		}
		if err := s.handleDatagram(from, buffer[:n]); err != nil {
			eventForeignDatagram.Log(s.options.Log, event.Fields{"from": from.String(), "error": err.Error()})
		}
	}
}

func (s *Server) handleDatagram(from net.Addr, data []byte) error {
	kind, content, err := datagram.Open(s.options.Process.InstanceKey, data)
	if err != nil {
		return err
	}
	s.options.Metrics.Datagrams(kind, telemetry.DatagramReceived, 1, len(data))
	switch kind {
	case datagram.Loads, datagram.LoadsToRelay:
		report, err := loadshare.Decode(content)
		if err != nil {
			return err
		}
		s.fleet.applyReport(time.Now(), addressOf(from), report)
		if kind == datagram.LoadsToRelay {
			s.relay(content)
		}
	case datagram.Rates, datagram.RatesToRelay:
		return s.handleRates(from, kind, content)
	case datagram.ArbiterRequest:
		ask, err := arbiter.DecodeRequest(content)
		if err != nil {
			return err
		}
		s.handleAsk(from, ask)
	case datagram.ArbiterAnswer:
		answer, err := arbiter.DecodeAnswer(content)
		if err != nil {
			return err
		}
		s.handleAnswer(answer)
	case datagram.ArbiterWithdrawal:
		withdrawal, err := arbiter.DecodeWithdrawal(content)
		if err != nil {
			return err
		}
		s.handleWithdrawal(withdrawal)
	}
	return nil
}
