package forward

import (
	"context"
	"maps"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/failover"
	"celeryport/loadshare"
	"celeryport/resend"
	"celeryport/resume"
	"celeryport/settings"
)

// runningBudgets returns the repeat budgets of an instance that has run for long enough to have earned
// as much slack as it may save.
func runningBudgets(budget resend.Budget) *resend.Budgets {
	b := resend.NewBudgets(time.Now().Add(-time.Hour), budget, func() resend.Fleet { return resend.Fleet{Instances: 1, Complete: true} })
	b.Observe(time.Now())
	return b
}

// newSilentSend returns a send of a prompt to a node, whose stream is silent for a time.
func newSilentSend(t *testing.T, silent time.Duration, budget float64) (*sending, *silenceWatch) {
	t.Helper()
	s, n := newServerWithNode(t)
	s.budgets = runningBudgets(resend.Budget{Slack: budget, Window: time.Minute})
	now, service := time.Now(), *s.options.Plane.View().Tree.Forwarding.Service("model")
	engine := *service.Engine
	engine.MeanAnswer, service.Engine = 1300, &engine
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close(); far.Close() })
	x := &exchange{
		server: s, call: &Call{ID: "call", PromptTokens: 1000, AnswerTokens: 100}, service: &service, sends: 1, events: 3, received: resume.After(3, true, true),
		route: &settings.Route{Repeat: settings.RepeatRest, Stream: true, MaxSends: 2, Objective: 300 * time.Millisecond, PauseLimit: 250 * time.Millisecond, Patience: 2 * time.Second},
		began: now.Add(-2 * silent), deadline: now.Add(8 * time.Second), eventAt: now.Add(-silent), firstAt: now.Add(-2 * silent),
	}
	sent := &sending{x: x, node: n, conn: newUpstreamConn(near), work: x.newWork(n, 0), begun: true, sentAt: x.began, lastEventAt: x.eventAt}
	return sent, newSilenceWatch(context.Background(), sent)
}

// Guards against loads and sends that stay counted although the call did not move, against moves
// beyond the repeat budget, against moves to an engine that takes no connection, and against the arbiter's answer to an earlier attempt, which it
// repeats to an ask of the same name.
func TestMoveWithoutAnEngineOrARepeatChangesNothing(t *testing.T) {
	for name, test := range map[string]struct {
		obstacle moveObstacle
		budget   float64
		silent   time.Duration
		full     bool
		prompt   int
	}{
		"all engines are full":     {noEngine, 100, 1500 * time.Millisecond, true, 1000},
		"long prompt":              {noEngine, 100, 1500 * time.Millisecond, true, 100_000},
		"the caller leaves before": {noEngine, 100, 1900 * time.Millisecond, false, 1000},
		"no repeat is left":        {noRepeat, 0, 1500 * time.Millisecond, false, 1000},
		"no connection":            {unreachableEngine, 100, 1500 * time.Millisecond, false, 1000},
	} {
		synctest.Test(t, func(t *testing.T) {
			silent, w := newSilentSend(t, test.silent, test.budget)
			x, fleet := silent.x, silent.x.server.fleet
			x.call.PromptTokens = test.prompt
			if test.obstacle == unreachableEngine {
				x.server.options.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
					<-ctx.Done()
					return nil, ctx.Err()
				}
			}
			fleet.mu.Lock()
			fleet.eligibleNodes(x.server.options.Plane.View().Upstreams, "model")
			for _, n := range fleet.nodes {
				if test.full {
					n.load.Streams, n.load.Leading = 3*x.service.Engine.Slots, 9
				}
			}
			fleet.mu.Unlock()
			before, ask := fleet.loadsToReport(time.Now()), x.newAsk().ID
			w.refresh()
			if moved, reason := silent.placeMove(context.Background(), &w.state, failover.CauseSilent); moved != nil || reason != test.obstacle {
				t.Errorf("%s: placed: %t, reason %q", name, moved != nil, reason)
			}
			after := fleet.loadsToReport(time.Now())
			if test.obstacle == unreachableEngine {
				maps.DeleteFunc(after, func(_ loadshare.Key, l loadshare.Load) bool { return l == loadshare.Load{Suspicions: 1} })
			}
			if !maps.Equal(before, after) || len(x.tried) > 0 || len(x.sentTo) > 0 {
				t.Errorf("%s: the loads or the exchange changed", name)
			}
			if x.isLong() && x.newAsk().ID == ask {
				t.Errorf("%s: the next ask has the same name", name)
			}
		})
	}
}

// Guards against moving a stream whose next event waits in the socket, after a suspension of this
// instance or a slow write to the caller, against a second move in one gap, and against a send that stays
// registered when the call ends before it moves.
func TestMoveLeavesTheSilentEngineOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent, w := newSilentSend(t, 1780*time.Millisecond, 100)
		x := silent.x
		if d := w.forecast(time.Now()); d.Action != failover.Move {
			t.Fatalf("no move is due: %+v", d)
		} else if at, _ := wakeAt(time.Now(), d); !at.After(time.Now()) {
			t.Error("waiting data is not read before the move")
		}
		if _, err := w.act(true); err != nil {
			t.Errorf("the call leaves although data is waiting: %v", err)
		}
		w.state.NotBefore = time.Time{}
		if _, err := w.act(false); !errors.Is(err, errMoved) || x.next == nil || x.next.lead == silent.node || !x.next.late {
			t.Fatalf("the call does not move to another engine as a late one: %v", err)
		}
		lead := x.next.lead
		x.cancelMove()
		x.recordMove(silent.work, &outcome{reached: true})
		w.refresh()
		if lead.load != (loadshare.Load{}) || !slices.Contains(x.tried, silent.node.key) || !w.state.Moved {
			t.Errorf("load left %+v, tried %v, moved %t", lead.load, x.tried, w.state.Moved)
		}
	})
}
