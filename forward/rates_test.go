package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"celeryport/loadshare"
	"celeryport/settings"
)

// Guards against long prompts, which one instance places for all, that overrun an engine
// whose rate each instance counts for itself.
func TestArbiterGivesAwayNoEngineThatNamesARate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, "front-1", "front-1")
		world := &arbiterWorld{server: s, now: time.Now()}
		before := world.Fleet("model")
		s.fleet.mu.Lock()
		one := 1.0
		s.fleet.rates.table.Answered(time.Now(), before.Keys[3], &one)
		s.fleet.mu.Unlock()
		after := world.Fleet("model")
		if len(after.Keys) != len(before.Keys)-1 {
			t.Errorf("%d of %d engines are given away", len(after.Keys), len(before.Keys))
		}
		s.fleet.mu.Lock()
		if s.fleet.inUse(s.options.Plane.View().Upstreams, "model")[before.Keys[3]] != nil {
			t.Error("an asker takes the engine although nobody counts it")
		}
		for _, key := range before.Keys {
			s.fleet.rates.table.Answered(time.Now(), key, &one)
		}
		s.fleet.mu.Unlock()
		if fleet := world.Fleet("model"); fleet != nil {
			t.Errorf("all engines name a rate, and %d are given away", len(fleet.Keys))
		}
	})
}

// Guards against an engine that gets no prompts at all because it names a rate.
func TestShortPromptsGoToAnEngineThatNamesARate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, "front-1", "front-1")
		service := s.options.Plane.View().Tree.Forwarding.Service("model")
		limited := loadshare.Key(0)
		s.fleet.mu.Lock()
		for key := range s.fleet.inUse(s.options.Plane.View().Upstreams, "model") {
			limited = key
		}
		two := 2.0
		s.fleet.rates.table.Answered(time.Now(), limited, &two)
		s.fleet.mu.Unlock()
		got := 0
		for range 100 {
			x := &exchange{
				server: s, call: &Call{PromptTokens: 500, AnswerTokens: 100}, service: service, route: &settings.Route{Objective: 300 * time.Millisecond, LongPause: 250 * time.Millisecond, MaxSends: 2},
				began: time.Now(), deadline: time.Now().Add(10 * time.Second),
			}
			s.budgets.call(time.Now(), "model")
			w, _, err := x.tryPlace()
			if err != nil {
				t.Fatal(err)
			}
			if w.lead.key == limited {
				got++
			}
			s.fleet.end(w)
			time.Sleep(100 * time.Millisecond)
		}
		if got < 10 || got > 20 {
			t.Errorf("the engine got %d prompts in 10 s, and takes 2 a second", got)
		}
	})
}
