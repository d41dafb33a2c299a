package control

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"celeryport/control/state"
	"celeryport/verdict"
)

// applyAt sends an order through one node and repeats it until the outcome is known, as
// the command line does.
func (f *fleet) applyAt(ctx context.Context, at int, request ApplyRequest) (state.Outcome, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return state.Outcome{}, err
	}
	for {
		n := f.members[at%len(f.members)]
		at++
		call, cancel := context.WithTimeout(ctx, time.Second)
		answer, err := n.node.Ask(call, n.process.ControlListen, CommandApply, body)
		cancel()
		if err == nil {
			var outcome state.Outcome
			return outcome, json.Unmarshal(answer, &outcome)
		}
		if ctx.Err() != nil || verdict.From(err).Reason == verdict.ReasonBadRequest {
			return state.Outcome{}, err
		}
	}
}

func TestRacingOperators(t *testing.T) {
	// Four operators read the same revision and change it at the same time through
	// different instances, and resend their orders whenever an acknowledgement is lost;
	// meanwhile the leader is partitioned. For each base revision exactly one order may
	// win, and the losers must get the winner in their outcome.
	t.Parallel()
	const operators, rounds = 4, 6
	f := newFleet(t, 3, 1)
	base := f.apply(0, "first", testTree(0)).Revision
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	for round := range rounds {
		var mu sync.Mutex
		won := map[string]uint64{}
		winners := map[string]bool{}
		var group errgroup.Group
		for operator := range operators {
			group.Go(func() error {
				id := fmt.Sprintf("%d-%d", round, operator)
				outcome, err := f.applyAt(ctx, operator, ApplyRequest{Base: base, OrderID: id, Text: testTree(10*round + operator)})
				if err != nil {
					return err
				}
				mu.Lock()
				defer mu.Unlock()
				if outcome.Kind == state.Accepted {
					won[id] = outcome.Revision
				} else {
					winners[outcome.Winner.OrderID] = true
				}
				return nil
			})
		}
		if round%2 == 1 {
			leader := f.leader()
			f.network.partition(leader.process.ControlListen)
			defer f.network.reconnect(leader.process.ControlListen)
		}
		if err := group.Wait(); err != nil {
			t.Fatal(err)
		}
		for _, m := range f.members {
			f.network.reconnect(m.process.ControlListen)
		}
		if len(won) != 1 || len(winners) != 1 {
			t.Fatalf("round %d: won %v, reported as winners %v", round, won, winners)
		}
		for id, revision := range won {
			if !winners[id] {
				t.Fatalf("round %d: %s won, but the losers were given %v", round, id, winners)
			}
			base = revision
		}
	}
}
