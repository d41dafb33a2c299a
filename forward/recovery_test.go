package forward

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/control"
	"celeryport/loadshare"
	"celeryport/membership"
	"celeryport/recovery"
	"celeryport/settings"
	"celeryport/verdict"
)

// shortExchange returns a call with a short prompt that has just begun.
func shortExchange(s *Server, id int) *exchange {
	forwarding := s.options.Plane.View().Tree.Forwarding
	return &exchange{
		server: s, service: &forwarding.Services[0], route: shortRoute(),
		call:  &Call{ID: fmt.Sprint(id), PromptTokens: 2000, AnswerTokens: 300},
		began: time.Now(), deadline: time.Now().Add(10 * time.Second),
	}
}

// completeView lets the time pass in which a server that has just started waits for the loads of
// the others.
func completeView(s *Server) {
	s.tickView(time.Now())
	time.Sleep(2 * loadshare.FullInterval)
}

// enginesOf places calls and returns how many engines lead them.
func enginesOf(t *testing.T, s *Server, calls int) int {
	t.Helper()
	leads := map[loadshare.Key]bool{}
	for id := range calls {
		w, wait, err := shortExchange(s, id).tryPlace()
		if w == nil {
			t.Fatalf("not placed: wait %s, %v", wait, err)
		}
		leads[w.lead.key] = true
		s.fleet.end(w)
	}
	return len(leads)
}

func TestRestartedInstanceDoesNotTakeItsEmptyViewForAnIdleFleet(t *testing.T) {
	// Guards against an instance that packs its calls onto the first engines of the common order
	// although it has not received the loads yet, and against one that spreads for good.
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, "front-1", "front-1", "other-1", "other-2")
		if used := enginesOf(t, s, 18); used < 12 {
			t.Errorf("just started: 18 calls are placed on %d of 18 engines", used)
		}
		s.fleet.applyReport(time.Now(), netip.MustParseAddrPort("10.0.0.1:7340"), &loadshare.Report{Sender: 1, Sequence: 1, Full: true})
		time.Sleep(800 * time.Millisecond)
		if used := enginesOf(t, s, 18); used > 4 {
			t.Errorf("with a complete view: 18 calls are placed on %d engines, want those of the packing", used)
		}
	})
}

func TestReportsCompleteTheViewOfARestartedInstance(t *testing.T) {
	// An instance that restarts alone hears the others within one full interval and must pack
	// again from then on. Reports of changes alone must not complete its view.
	for _, full := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := newTestServer(t, "front-1", "front-1")
			view := *s.options.Plane.View()
			for i := range 3 {
				view.Instances = append(view.Instances, membership.Instance{
					Name: fmt.Sprint("other-", i), Address: "a", ControlAddress: fmt.Sprintf("10.0.0.%d:7340", i+2),
				})
			}
			s.options.Plane = fixedPlane{view: &view}
			s.tickView(time.Now())
			for i := range 3 {
				from := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7340", i+2))
				s.fleet.applyReport(time.Now(), from, &loadshare.Report{Sender: loadshare.Key(i + 1), Sequence: 1, Full: full})
			}
			time.Sleep(loadshare.FullInterval)
			s.fleet.mu.Lock()
			defer s.fleet.mu.Unlock()
			if complete := s.viewComplete(time.Now()); complete != full {
				t.Errorf("complete: %t, after reports of all others with full %t", complete, full)
			}
		})
	}
}

func shortRoute() *settings.Route {
	return &settings.Route{Objective: 300 * time.Millisecond, PauseLimit: 250 * time.Millisecond, Stream: true}
}

func TestResidualLoadOfLostProcessesIsReported(t *testing.T) {
	// After a loss of all processes engines still run calls that no instance knows. Guards
	// against calls placed there, and against a restarted instance that reports residual load
	// before its view is complete or long after its start.
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, "front-1", "front-1")
		s.tickView(time.Now())
		s.fleet.mu.Lock()
		defer s.fleet.mu.Unlock()
		n := s.fleet.node(&s.options.Plane.View().Upstreams.Upstreams[0])
		state := &recovery.EngineState{Active: 8, Queued: 1, Held: 50_000}
		if s.recordResidual(time.Now(), n, state) || s.fleet.loadOf(time.Now(), n).Streams != 9 {
			t.Errorf("incomplete view: load %+v, reported %+v", s.fleet.loadOf(time.Now(), n), n.ownLoad(time.Now()))
		}
		time.Sleep(2 * loadshare.FullInterval)
		n.load.Streams = 3
		if !s.recordResidual(time.Now(), n, state) || n.ownLoad(time.Now()).Streams != 9 {
			t.Errorf("complete view: reported %+v, want 3 own streams and 6 others", n.ownLoad(time.Now()))
		}
		s.recordResidual(time.Now(), n, state)
		if got := n.ownLoad(time.Now()).Streams; got != 9 {
			t.Errorf("a second poll changes the residual load: %d streams", got)
		}
		time.Sleep(6 * time.Second)
		if s.recordResidual(time.Now(), n, state) || n.ownLoad(time.Now()).Streams != 3 {
			t.Errorf("long after the start: reported %+v", n.ownLoad(time.Now()))
		}
	})
}

func TestRefusedCallersOfARestartReturnApart(t *testing.T) {
	// Guards against callers that are refused together after a restart and come back within
	// 200 ms while the engines need 2 s for their backlog, and against other waits later on.
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, "front-1", "front-1")
		s.tickView(time.Now())
		latest := func() time.Duration {
			longest := time.Duration(0)
			for id := range 50 {
				x := shortExchange(s, id)
				var refusal *verdict.Error
				if !errors.As(x.refuseTooLate(2*time.Second, 100*time.Millisecond), &refusal) {
					t.Fatal("not a refusal")
				}
				longest = max(longest, refusal.RetryAfter)
			}
			return longest
		}
		if got := latest(); got < time.Second || got > 2100*time.Millisecond {
			t.Errorf("just started: the last of 50 callers returns after %s, want nearly 2.1 s", got)
		}
		time.Sleep(6 * time.Second)
		if got := latest(); got > 300*time.Millisecond {
			t.Errorf("long after the start: %s", got)
		}
	})
}

func TestHeldBackCallsArePlacedShortestFirst(t *testing.T) {
	// Calls wait for the first settings of a new process and are released together. Guards
	// against a longer prompt that is placed before a shorter one, and against a delay of calls
	// that were not held back.
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, "front-1", "front-1")
		delay := func(tokens int, heldBack bool) time.Duration {
			x := shortExchange(s, tokens)
			x.call.PromptTokens, x.heldBack = tokens, heldBack
			began := time.Now()
			x.awaitTurn(t.Context())
			return time.Since(began)
		}
		if short, longer := delay(500, true), delay(1500, true); short >= longer || longer > 20*time.Millisecond {
			t.Errorf("500 tokens wait %s, 1,500 tokens %s", short, longer)
		}
		if usual := delay(1500, false); usual > 0 {
			t.Errorf("a call that was not held back waits %s", usual)
		}
		early := shortExchange(s, 1)
		s.options.Plane = fixedPlane{view: &control.View{}}
		if early.awaitSettings(t.Context()); !early.heldBack {
			t.Error("a call that waited for the first settings does not count as held back")
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
		s.fleet.applyReport(time.Now(), netip.MustParseAddrPort("10.0.0.1:7340"), &loadshare.Report{Sender: 1, Sequence: 1, Full: true})
		time.Sleep(time.Second) // the other instance has ended meanwhile
		if !s.isAggregator(time.Now()) {
			t.Error("nobody aggregates the zone")
		}
	})
}
