package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"celeryport/arbiter"
	"celeryport/membership"
)

// Guards against prompts that wait for ever because the arbiter, which sleeps while none waits, is
// not woken.
func TestArbiterIsWokenByAWaitingAsk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, "front-1", "front-1")
		go s.arbitrate(t.Context())
		s.fleet.mu.Lock()
		unlimited, _, _ := s.fleet.candidates(time.Now(), s.options.Plane.View().Upstreams, "model")
		var busy []*work
		for _, n := range unlimited.nodes {
			busy = append(busy, &work{lead: n, part: 300 * time.Millisecond})
			s.fleet.begin(time.Now(), busy[len(busy)-1])
		}
		s.fleet.mu.Unlock()
		time.AfterFunc(300*time.Millisecond, func() {
			for _, w := range busy {
				s.fleet.end(w)
			}
		})
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		answer, _, responded := s.askArbiter(ctx, "model", longAsk)
		if !responded || answer == nil || answer.Decision != arbiter.Placed {
			t.Errorf("answered %+v (%t)", answer, responded)
		}
		if s.arbitration.hasWaiting() {
			t.Error("an ask still waits")
		}
	})
}

// Guards against an instance that polls all engines of a fleet because it has just started and
// does not know the other instances yet: at a thousand engines it opened a thousand connections.
func TestInstanceThatIsNotListedPollsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, "front-1")
		if polled := len(s.nodesToPoll()); polled > 0 {
			t.Errorf("polls %d engines before it is listed", polled)
		}
		view := *s.options.Plane.View()
		view.Instances = []membership.Instance{{Name: "front-1", Address: "a"}}
		s.options.Plane = fixedPlane{view: &view}
		if polled := len(s.nodesToPoll()); polled != 18 {
			t.Errorf("the only instance polls %d of 18 engines", polled)
		}
	})
}
