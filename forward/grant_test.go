package forward

import (
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"celeryport/arbiter"
	"celeryport/loadshare"
	"celeryport/settings"
)

// placeFor has the arbiter place an ask of an instance whose load reports do not arrive.
func placeFor(t *testing.T, s *Server, ask *arbiter.Request) *arbiter.Answer {
	t.Helper()
	s.arbitration.mu.Lock()
	s.arbitration.queue.Accept(time.Now(), ask)
	answers := s.arbitration.queue.Step(time.Now(), &arbiterFleetSource{server: s, now: time.Now()})
	s.arbitration.mu.Unlock()
	if len(answers) != 1 || answers[0].Decision != arbiter.Placed {
		t.Fatalf("answers %+v", answers)
	}
	return answers[0]
}

// Guards against assigning engines twice while the load reports of an availability zone are
// missing because the instance that relays them was killed.
func TestEnginesAreNotGivenAwayTwiceWhileReportsAreMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, "front-1", "front-1")
		completeView(s)
		first := longAsk()
		given := placeFor(t, s, first)
		time.Sleep(100 * time.Millisecond)
		second := longAsk()
		second.ID, second.Prompt = "front-2/call/0", 20_000
		again := placeFor(t, s, second)
		busy := append(slices.Clone(given.Helpers), given.Lead)
		if slices.Contains(busy, again.Lead) {
			t.Errorf("engine %d gets a second prompt 100 ms into a reading of %s", again.Lead, given.Part)
		}
	})
}

// Guards against engines that stay reserved for a prompt that a helper refused to read.
func TestAbandonedGrantIsRevoked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, "front-1", "front-1")
		completeView(s)
		given := placeFor(t, s, longAsk())
		next := longAsk()
		next.ID, next.Previous, next.Tried = "front-1/call/1", "front-1/call/0", []loadshare.Key{given.Helpers[0]}
		s.applyAskOutcome(&net.UDPAddr{}, next)
		s.fleet.mu.Lock()
		defer s.fleet.mu.Unlock()
		for _, n := range s.fleet.nodes {
			if left := s.fleet.loadOf(time.Now(), n); left != (loadshare.Load{}) {
				t.Errorf("%s still has the load %+v", n.name, left)
			}
		}
	})
}

// Guards against abandoning an interrupted stream because its first event is long past its
// objective: once the stream has begun, the limit applies to its next event.
func TestBegunStreamIsPlacedByItsNextEvent(t *testing.T) {
	s := newTestServer(t, "front-1", "front-1")
	now := time.Now()
	x := &exchange{
		server: s, call: &Call{ID: "call", PromptTokens: 180_000, PromptID: 7}, deadline: now.Add(10 * time.Second), began: now.Add(-5 * time.Second),
		route:   &settings.Route{Objective: 4 * time.Second, PauseLimit: time.Second},
		service: &s.options.Plane.View().Tree.Forwarding.Services[0],
	}
	if ask := x.newAsk(); ask.Objective != 4*time.Second || ask.Waited < 5*time.Second || ask.PromptID != 7 {
		t.Errorf("ask before the first event: %+v", ask)
	}
	x.firstAt, x.eventAt, x.events = now.Add(-2*time.Second), now, 3
	if ask := x.newAsk(); ask.Objective != time.Second || ask.Waited > time.Second/2 || ask.PromptID != 0 {
		t.Errorf("ask after an event: %+v", ask)
	}
}
