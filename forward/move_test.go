package forward

import (
	"context"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"celeryport/failover"
	"celeryport/loadshare"
	"celeryport/settings"
)

// newSilentSend returns a send of a short prompt to a node, whose stream is silent for a time.
func newSilentSend(t *testing.T, s *Server, n *node, silent time.Duration) *sending {
	t.Helper()
	now := time.Now()
	service := *s.options.Plane.View().Tree.Forwarding.Service("model")
	engine := *service.Engine
	engine.MeanAnswer = 1300
	service.Engine = &engine
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close(); far.Close() })
	x := &exchange{
		server: s, call: &Call{ID: "call", PromptTokens: 1000, AnswerTokens: 100},
		service:  &service,
		route:    &settings.Route{Repeat: settings.RepeatRest, Stream: true, MaxSends: 2, Objective: 300 * time.Millisecond, PauseLimit: 250 * time.Millisecond, Patience: 2 * time.Second},
		began:    now.Add(-2 * silent),
		deadline: now.Add(8 * time.Second),
		sends:    1, events: 3, lastEvent: 3, hasEvent: true, eventAt: now.Add(-silent), firstAt: now.Add(-2 * silent),
	}
	return &sending{x: x, node: n, conn: newUpstreamConn(near), work: x.newWork(n, 0), begun: true, sentAt: x.began, heard: x.eventAt}
}

// Guards against loads and sends that are counted although the call did not move, which would
// keep work from the engines or use up the sends of the call, and against moves beyond the
// repeat budget.
func TestMoveWithoutAnEngineOrARepeatChangesNothing(t *testing.T) {
	for name, test := range map[string]struct {
		obstacle moveObstacle
		budget   float64
		silent   time.Duration
		full     bool
	}{
		"all engines are full":     {noEngine, 100, 1500 * time.Millisecond, true},
		"the caller leaves before": {noEngine, 100, 1900 * time.Millisecond, false},
		"no repeat is left":        {noRepeat, 0, 1500 * time.Millisecond, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			s, n := newServerWithNode(t)
			s.budgets = newBudgets(RepeatBudget{Slack: test.budget, Window: time.Minute}, s.instances)
			silent := newSilentSend(t, s, n, test.silent)
			x, now := silent.x, time.Now()
			if test.full {
				s.fleet.mu.Lock()
				s.fleet.eligibleNodes(s.options.Plane.View().Upstreams, "model")
				for _, other := range s.fleet.nodes {
					other.load.Streams = 3 * x.service.Engine.Slots
				}
				s.fleet.mu.Unlock()
			}
			before := s.fleet.loadsToReport(now)
			w := newSilenceWatch(context.Background(), silent)
			w.refresh()
			moved, reason := silent.placeMove(context.Background(), &w.state)
			if moved != nil || reason != test.obstacle {
				t.Fatalf("%s: placed: %t, reason %q", name, moved != nil, reason)
			}
			after := s.fleet.loadsToReport(now)
			for key, load := range after {
				if load != before[key] && load != (loadshare.Load{}) {
					t.Errorf("%s: the load of an engine changed from %+v to %+v", name, before[key], load)
				}
			}
			if len(x.tried) > 0 || len(x.sentTo) > 0 || x.next != nil {
				t.Errorf("%s: the exchange changed", name)
			}
		})
	}
}

// Guards against a second move to an engine that the call has left, and against a send that stays
// registered when the call ends before it moves.
func TestMoveAvoidsTheSilentEngineAndIsCancelledWithTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, n := newServerWithNode(t)
		s.budgets = newBudgets(RepeatBudget{Slack: 100, Window: time.Minute}, s.instances)
		silent := newSilentSend(t, s, n, 1500*time.Millisecond)
		x := silent.x
		w := newSilenceWatch(context.Background(), silent)
		w.refresh()
		if !silent.prepareMove(context.Background(), &w.state, failover.CauseSilent) || x.next.lead == n {
			t.Fatal("the call does not move to another engine")
		}
		if !x.next.late {
			t.Error("the moved stream does not count as late, although its pause limit is exceeded")
		}
		lead := x.next.lead
		x.cancelMove()
		if lead.load != (loadshare.Load{}) {
			t.Errorf("the engine keeps the load %+v after the call has ended", lead.load)
		}
		x.recordMove(silent.work, &outcome{reached: true})
		if !slices.Contains(x.tried, n.key) || x.allowedLeads() != nil {
			t.Errorf("tried %v, allowed leads %v", x.tried, x.allowedLeads())
		}
		w.refresh()
		if !w.state.Moved {
			t.Error("the call may move again before its next event")
		}
	})
}

// Guards against getting the arbiter's refusal of the first attempt again and again: it repeats
// its answer to an ask of the same name for a second, longer than the caller waits.
func TestEachAttemptToMoveIsANewAsk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, n := newServerWithNode(t)
		x := newSilentSend(t, s, n, 1500*time.Millisecond).x
		x.call.PromptTokens = 100_000
		before := x.newAsk().ID
		s.fleet.mu.Lock()
		s.fleet.eligibleNodes(s.options.Plane.View().Upstreams, "model")
		for _, other := range s.fleet.nodes {
			other.load.Streams, other.load.Leading = 3*x.service.Engine.Slots, 9
		}
		s.fleet.mu.Unlock()
		if w := x.findMove(context.Background()); w != nil {
			t.Fatal("a full engine takes the prompt")
		}
		if after := x.newAsk().ID; after == before {
			t.Errorf("the next ask has the same name %s", after)
		}
	})
}
