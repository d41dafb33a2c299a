package forward

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/control"
	"celeryport/loadshare"
	"celeryport/recovery"
	"celeryport/settings"
	"celeryport/verdict"
)

// newShortCall returns a call with a short prompt that has just begun.
func newShortCall(s *Server) *exchange {
	return &exchange{
		server: s, service: &s.options.Plane.View().Tree.Forwarding.Services[0],
		route: &settings.Route{Objective: 300 * time.Millisecond, PauseLimit: 250 * time.Millisecond},
		call:  &Call{PromptTokens: 2000, AnswerTokens: 300}, began: time.Now(), deadline: time.Now().Add(10 * time.Second),
	}
}

// receiveFullReport has a server receive a full report of another instance of its zone.
func receiveFullReport(s *Server) {
	s.tickView(time.Now())
	s.fleet.applyReport(time.Now(), netip.MustParseAddrPort("10.0.0.1:7340"), &loadshare.Report{Sender: 1, Sequence: 1, Full: true})
}

// completeView lets the time pass in which a new server waits for the loads of the others.
func completeView(s *Server) {
	receiveFullReport(s)
	time.Sleep(2 * loadshare.FullInterval)
}

func TestRestartedInstanceDoesNotTakeItsEmptyViewForAnIdleFleet(t *testing.T) {
	// Guards against an instance that packs its calls onto the first engines of the common order
	// although it has not received the loads yet, and against one that spreads for good.
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, "front-1", "front-1", "other-1")
		enginesOf18 := func() int {
			leads := map[loadshare.Key]bool{}
			for range 18 {
				w, wait, err := newShortCall(s).tryPlace()
				if w == nil {
					t.Fatalf("not placed: wait %s, %v", wait, err)
				}
				leads[w.lead.key] = true
				s.fleet.end(w)
			}
			return len(leads)
		}
		if used := enginesOf18(); used < 12 {
			t.Errorf("just started: 18 calls are placed on %d of 18 engines", used)
		}
		completeView(s)
		if used := enginesOf18(); used > 4 {
			t.Errorf("with a complete view: 18 calls are placed on %d engines, want those of the packing", used)
		}
	})
}

func TestUnknownZoneIsNotAggregated(t *testing.T) {
	// Guards against a restarted aggregator that reports its zone as idle to the other zones,
	// because the others of the zone have not learned of it yet and do not report to it.
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, "front-1", "front-1", "other-1")
		s.tickView(time.Now())
		time.Sleep(500 * time.Millisecond)
		if s.isAggregator(time.Now()) {
			t.Error("aggregates its zone without any report of it")
		}
		receiveFullReport(s)
		if time.Sleep(time.Second); !s.isAggregator(time.Now()) {
			t.Error("nobody aggregates the zone after the other instance has ended")
		}
	})
}

func TestResidualLoadOfLostProcessesIsReported(t *testing.T) {
	// After a loss of all processes engines still run calls that no instance knows. Guards
	// against calls placed there, and against a restarted instance that reports residual load
	// before its view is complete or long after its start.
	synctest.Test(t, func(t *testing.T) {
		s, n := newServerWithNode(t)
		s.tickView(time.Now())
		check := func(when string, used, reported int) {
			s.fleet.mu.Lock()
			defer s.fleet.mu.Unlock()
			s.recordResidual(time.Now(), n, &recovery.EngineState{Active: 8, Queued: 1, Held: 50_000})
			if a, b := s.fleet.loadOf(time.Now(), n).Streams, n.ownLoad(time.Now()).Streams; a != used || b != reported {
				t.Errorf("%s: places by %d streams and reports %d, want %d and %d", when, a, b, used, reported)
			}
		}
		check("incomplete view", 9, 0)
		completeView(s)
		n.load.Streams = 3
		check("complete view", 9, 9)
		check("second poll", 9, 9)
		time.Sleep(6 * time.Second)
		check("long after the start", 3, 3)
	})
}

// changingPlane is a control plane whose view changes.
type changingPlane struct {
	fixedPlane
	current atomic.Pointer[control.View]
}

func (p *changingPlane) View() *control.View { return p.current.Load() }

func TestEnginesArePolledAsSoonAsTheInstancesAreKnown(t *testing.T) {
	// The list of instances arrives some tenths of a second after the start of the process. If
	// the engines were polled a whole interval later, calls of lost processes would have ended
	// or delayed new ones before they are known.
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, "front-1", "front-1")
		known, plane := s.options.Plane.View(), &changingPlane{}
		plane.current.Store(&control.View{Tree: known.Tree, Upstreams: known.Upstreams})
		s.options.Plane, s.options.Dialect = plane, pollDialect{}
		var polled atomic.Int64
		s.options.Dial = func(context.Context, string, string) (net.Conn, error) {
			polled.Add(1)
			return nil, errors.New("no network")
		}
		go s.pollEngines(t.Context())
		time.Sleep(350 * time.Millisecond)
		plane.current.Store(known)
		if time.Sleep(2 * pollTick); polled.Load() < 18 {
			t.Errorf("%d of 18 engines are polled 200 ms after the instances are known", polled.Load())
		}
	})
}

func TestCallersOfARestartComeInTurn(t *testing.T) {
	// Guards against callers that are refused together after a restart and come back within
	// 200 ms while the engines need 2 s, and against calls that were held back together and are
	// placed in random order.
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, "front-1", "front-1")
		s.tickView(time.Now())
		turn := func(tokens int) time.Duration {
			x, began := newShortCall(s), time.Now()
			x.call.PromptTokens, x.heldBack = tokens, true
			x.awaitTurn(t.Context())
			return time.Since(began)
		}
		if short, longer := turn(500), turn(1500); short >= longer || longer > 20*time.Millisecond {
			t.Errorf("500 tokens wait %s, 1,500 tokens %s", short, longer)
		}
		for _, least := range []time.Duration{time.Second, 0} {
			longest := time.Duration(0)
			for range 50 {
				var refusal *verdict.Error
				if errors.As(newShortCall(s).refuseTooLate(2*time.Second, 100*time.Millisecond), &refusal) {
					longest = max(longest, refusal.RetryAfter)
				}
			}
			if longest < least || longest > 2*least+300*time.Millisecond {
				t.Errorf("the last of 50 callers returns after %s, want at least %s", longest, least)
			}
			time.Sleep(6 * time.Second)
		}
		early := newShortCall(s)
		s.options.Plane = fixedPlane{view: &control.View{}}
		if early.awaitSettings(t.Context()); !early.heldBack {
			t.Error("a call that waited for the first settings does not count as held back")
		}
	})
}
