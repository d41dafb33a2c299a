package forward

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/arbiter"
	"celeryport/evacuation"
	"celeryport/settings"
	"celeryport/verdict"
)

// evacuate replaces the view by one in which the zone of the engines is evacuated.
func evacuate(s *Server) {
	before := s.options.Plane.View()
	var none *evacuation.List
	after := *before
	after.Evacuated = none.With(1, "", true)
	upstreams := *before.Upstreams
	upstreams.Upstreams = slices.Clone(before.Upstreams.Upstreams)
	upstreams.MarkEvacuated(after.Evacuated.Covers)
	after.Upstreams = &upstreams
	s.options.Plane = fixedPlane{view: &after}
	s.fleet.options.Plane = s.options.Plane
}

// Guards against new work for the engines of an evacuated zone: first sends, placements by the
// arbiter, and sends that were placed before the evacuation.
func TestEvacuatedZoneGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, n := newServerWithNode(t)
		placed := &work{lead: n}
		ask := longAsk()
		answer, _, _ := s.askArbiter(context.Background(), "model", func() *arbiter.Request { return ask })
		evacuate(s)
		if unavailable, cause := s.fleet.unavailableNode(placed); unavailable != n || !errors.Is(cause, errEvacuated) {
			t.Errorf("a send placed before goes on: %v", cause)
		}
		if fleet := (&arbiterFleetSource{server: s, now: time.Now()}).Fleet("model"); fleet != nil && len(fleet.Keys) > 0 {
			t.Errorf("the arbiter assigns %d engines of the zone", len(fleet.Keys))
		}
		x := &exchange{
			server: s, call: &Call{PromptTokens: 500, AnswerTokens: 100}, service: s.options.Plane.View().Tree.Forwarding.Service("model"),
			route: &settings.Route{Objective: 300 * time.Millisecond, PauseLimit: 250 * time.Millisecond, MaxSends: 2},
			began: time.Now(), deadline: time.Now().Add(10 * time.Second),
		}
		time.Sleep(startupGrace)
		began := time.Now()
		x.began, x.deadline = began, began.Add(10*time.Second)
		w, err := x.place(context.Background())
		if w != nil || verdict.From(err).Verdict != verdict.NotRun {
			t.Errorf("placed %v, refused with %v", w, err)
		}
		if waited := time.Since(began); waited > 0 {
			t.Errorf("the refusal took %s", waited)
		}
		s.fleet.mu.Lock()
		if _, unusable := x.workFromAnswer(answer); len(unusable) != 1+len(answer.Helpers) {
			t.Errorf("%d engines of an answer given before are unusable, want %d", len(unusable), 1+len(answer.Helpers))
		}
		s.fleet.mu.Unlock()
	})
}

// Guards against losing track of the engines of an evacuated zone, which would be unknown when
// the zone is restored.
func TestEvacuatedEnginesArePolled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newServerWithNode(t)
		before := len(s.nodesToPoll())
		evacuate(s)
		if after := len(s.nodesToPoll()); after != before || after == 0 {
			t.Errorf("%d engines are polled, %d before the evacuation", after, before)
		}
	})
}
