package order

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celeryport/control/state"
	"celeryport/settings"
	"celeryport/upstream"
	"celeryport/upstream/wire"
)

var testStart = time.Unix(1_800_000_000, 0)

// engineModel is an engine that executes orders, as its own process would.
type engineModel struct {
	name    string
	fencing upstream.Fencing
	state   wire.EngineState
	ran     []string // ids of all orders that it executed
}

func newEngine(name string, fencing upstream.Fencing, models ...string) *engineModel {
	return &engineModel{name: name, fencing: fencing, state: wire.EngineState{Incarnation: 1, Models: models}}
}

// execute runs an order unless its fencing number is checked and old.
func (e *engineModel) execute(o wire.Order) bool {
	fence := state.Fence{Term: o.Term, Index: o.Index}
	seen := state.Fence{Term: e.state.FenceTerm, Index: e.state.FenceIndex}
	if e.fencing == upstream.FencingChecked && fence.Less(seen) {
		return false
	}
	e.ran = append(e.ran, o.ID)
	e.state.Orders = append(slices.Clone(e.state.Orders), o.ID)
	if e.fencing == upstream.FencingChecked {
		e.state.FenceTerm, e.state.FenceIndex = o.Term, o.Index
	}
	switch o.Kind {
	case wire.OrderLoadModel:
		e.state.Models = append(slices.Clone(e.state.Models), o.Value)
	case wire.OrderUnloadModel:
		e.state.Models = slices.DeleteFunc(slices.Clone(e.state.Models), func(m string) bool { return m == o.Value })
	case wire.OrderLoadAdapter:
		e.state.Adapters = append(slices.Clone(e.state.Adapters), o.Value)
	case wire.OrderUnloadAdapter:
		e.state.Adapters = slices.DeleteFunc(slices.Clone(e.state.Adapters), func(a string) bool { return a == o.Value })
	case wire.OrderVersion:
		e.state.Version = o.Value
	case wire.OrderRole:
		e.state.Role = o.Value
	}
	return true
}

// shop is a set of engines, all announced and fresh.
type shop map[string]*engineModel

func (s shop) snapshot(now time.Time) *upstream.Snapshot {
	registry := upstream.NewRegistry(time.Hour)
	for _, e := range s {
		registry.Hear(now, upstream.Announcement{
			Name: e.name, Incarnation: e.state.Incarnation, Sequence: uint64(now.UnixNano()),
			Address: e.name, Kind: upstream.Engine, Targets: e.state.Models, Fencing: e.fencing,
		})
	}
	return registry.Snapshot(now)
}

// answer executes an action and returns its result.
func (s shop) answer(a Action) Result {
	e := s[a.Engine]
	result := Result{Engine: a.Engine, Incarnation: a.Incarnation, Order: a.Order}
	if a.Order != nil {
		result.Accepted = e.execute(*a.Order)
	}
	reported := e.state
	result.State = &reported
	return result
}

func lost(a Action) Result {
	return Result{Engine: a.Engine, Incarnation: a.Incarnation, Order: a.Order, Reason: "no answer"}
}

func issuerOf(term uint64, takenAt time.Time) Issuer {
	return Issuer{Fence: state.Fence{Term: term, Index: term}, TakenAt: takenAt, Until: takenAt.Add(time.Hour)}
}

// reporter is what both kinds of tests have.
type reporter interface {
	Helper()
	Fatalf(format string, args ...any)
}

// settle runs rounds with every answer arriving until nothing is left to do.
func settle(t reporter, r *Reconciler, s shop, issuer Issuer, tree *settings.Tree, now time.Time) time.Time {
	t.Helper()
	for range 100 {
		actions := r.Step(now, issuer, tree, s.snapshot(now))
		ordered := false
		for _, a := range actions {
			r.Done(now, s.answer(a))
			ordered = ordered || a.Order != nil
		}
		if len(actions) == 0 && !ordered {
			return now
		}
		now = now.Add(time.Second)
	}
	t.Fatalf("never settled: %+v", r.Records())
	return now
}

func TestWishesAreReached(t *testing.T) {
	wished := func(m settings.Model) *settings.Tree { return &settings.Tree{Models: []settings.Model{m}} }
	tests := map[string]struct {
		engines shop
		tree    *settings.Tree
		want    map[string]wire.EngineState
	}{
		"a model on spare engines": {
			shop{"e1": newEngine("e1", upstream.FencingIgnored, "m"), "e2": newEngine("e2", upstream.FencingIgnored), "e3": newEngine("e3", upstream.FencingIgnored)},
			wished(settings.Model{Name: "m", Replicas: 2}),
			map[string]wire.EngineState{"e1": {Models: []string{"m"}}, "e2": {Models: []string{"m"}}, "e3": {}},
		},
		"too many replicas": {
			shop{"e1": newEngine("e1", upstream.FencingIgnored, "m"), "e2": newEngine("e2", upstream.FencingIgnored, "m")},
			wished(settings.Model{Name: "m", Replicas: 1}),
			map[string]wire.EngineState{"e1": {Models: []string{"m"}}, "e2": {Models: []string{}}},
		},
		"version and adapters": {
			shop{"e1": newEngine("e1", upstream.FencingChecked, "m")},
			wished(settings.Model{Name: "m", Version: "v2", Adapters: []string{"a", "b"}}),
			map[string]wire.EngineState{"e1": {Models: []string{"m"}, Version: "v2", Adapters: []string{"a", "b"}}},
		},
		"role": {
			shop{"e1": newEngine("e1", upstream.FencingChecked, "m"), "e2": newEngine("e2", upstream.FencingIgnored)},
			wished(settings.Model{Name: "m", Role: "prefill"}),
			map[string]wire.EngineState{"e1": {Models: []string{"m"}, Role: "prefill"}, "e2": {}},
		},
		"two models on one engine wish different versions": {
			shop{"e1": newEngine("e1", upstream.FencingIgnored, "m", "n")},
			&settings.Tree{Models: []settings.Model{{Name: "m", Version: "v2"}, {Name: "n", Version: "v3"}}},
			map[string]wire.EngineState{"e1": {Models: []string{"m", "n"}, Version: "v2"}},
		},
		"nothing wished": {
			shop{"e1": newEngine("e1", upstream.FencingIgnored, "m")},
			wished(settings.Model{Name: "m"}),
			map[string]wire.EngineState{"e1": {Models: []string{"m"}}},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			issuer := issuerOf(1, testStart)
			settle(t, NewReconciler(DefaultTiming()), test.engines, issuer, test.tree, testStart.Add(DefaultTiming().Wait))
			for engine, want := range test.want {
				got := test.engines[engine].state
				if !slices.Equal(got.Models, want.Models) || !slices.Equal(got.Adapters, want.Adapters) || got.Version != want.Version || got.Role != want.Role {
					t.Errorf("%s is %+v, want %+v", engine, got, want)
				}
			}
		})
	}
}

func TestEngineWithoutFencingIsLeftAloneAtFirst(t *testing.T) {
	// The leader changes while the former one is in the middle of its orders. An
	// engine that ignores fencing numbers would execute the orders of both, in any
	// order, if the new issuer did not wait until the former must have stopped.
	tree := &settings.Tree{Models: []settings.Model{{Name: "m", Version: "v2"}}}
	for _, fencing := range []upstream.Fencing{upstream.FencingIgnored, upstream.FencingChecked} {
		s := shop{"e1": newEngine("e1", fencing, "m")}
		r := NewReconciler(DefaultTiming())
		early := r.Step(testStart.Add(time.Second), issuerOf(2, testStart), tree, s.snapshot(testStart))
		if touched := len(early) > 0; touched != (fencing == upstream.FencingChecked) {
			t.Errorf("fencing %d: touched early: %v", fencing, touched)
		}
	}
}

func TestLostOrderIsReadBack(t *testing.T) {
	// The engine executes an order and dies to the network before it answers. If
	// the order were sent again blindly it would be executed twice, and on an
	// engine that meanwhile was changed by hand it would undo the change.
	for _, executed := range []bool{true, false} {
		t.Run(fmt.Sprintf("executed=%v", executed), func(t *testing.T) {
			s := shop{"e1": newEngine("e1", upstream.FencingIgnored, "m")}
			tree := &settings.Tree{Models: []settings.Model{{Name: "m", Adapters: []string{"a"}}}}
			r, issuer := NewReconciler(DefaultTiming()), issuerOf(1, testStart)
			now := testStart.Add(DefaultTiming().Wait)
			r.Done(now, s.answer(r.Step(now, issuer, tree, s.snapshot(now))[0]))
			order := r.Step(now, issuer, tree, s.snapshot(now))[0]
			if executed {
				s.answer(order)
			}
			r.Done(now, lost(order))
			if early := r.Step(now.Add(time.Millisecond), issuer, tree, s.snapshot(now)); len(early) != 0 {
				t.Fatalf("called at once after a lost answer: %+v", early)
			}
			now = now.Add(DefaultTiming().Backoff)
			next := r.Step(now, issuer, tree, s.snapshot(now))
			if len(next) != 1 || next[0].Order != nil {
				t.Fatalf("not read back: %+v", next)
			}
			r.Done(now, s.answer(next[0]))
			settle(t, r, s, issuer, tree, now)
			if len(s["e1"].ran) != 1 || !slices.Equal(s["e1"].state.Adapters, []string{"a"}) {
				t.Fatalf("orders executed %v, adapters %v", s["e1"].ran, s["e1"].state.Adapters)
			}
		})
	}
}

func TestNoOrderWithoutTheLease(t *testing.T) {
	// The leader is cut off from the other voters. Another one may order by now.
	s := shop{"e1": newEngine("e1", upstream.FencingChecked, "m")}
	tree := &settings.Tree{Models: []settings.Model{{Name: "m", Version: "v2"}}}
	issuer := issuerOf(1, testStart)
	if actions := NewReconciler(DefaultTiming()).Step(issuer.Until, issuer, tree, s.snapshot(testStart)); len(actions) != 0 {
		t.Fatalf("actions after the lease: %+v", actions)
	}
}

func TestChangingIssuersOrderNothingTwice(t *testing.T) {
	// Issuers follow each other, answers are lost and late, and engines restart.
	// Each engine must end with what the tree wishes, and never see an adapter
	// loaded that it has already.
	rapid.Check(t, func(t *rapid.T) {
		tree := &settings.Tree{Models: []settings.Model{{Name: "m", Version: "v3", Adapters: []string{"a", "b"}}}}
		s := shop{"e1": newEngine("e1", upstream.FencingIgnored, "m"), "e2": newEngine("e2", upstream.FencingChecked, "m")}
		timing := DefaultTiming()
		now := testStart
		term := uint64(1)
		issuer, r := issuerOf(term, now), NewReconciler(timing)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "pause")))
			if rapid.IntRange(0, 9).Draw(t, "change") == 0 {
				term++
				issuer = issuerOf(term, now)
				if rapid.Bool().Draw(t, "elsewhere") {
					r = NewReconciler(timing)
				}
			}
			for _, a := range r.Step(now, issuer, tree, s.snapshot(now)) {
				switch rapid.IntRange(0, 3).Draw(t, "fate") {
				case 0:
					r.Done(now, lost(a))
				case 1:
					s.answer(a)
					r.Done(now, lost(a))
				default:
					r.Done(now, s.answer(a))
				}
			}
			for _, e := range s {
				if adapters := slices.Sorted(slices.Values(e.state.Adapters)); len(slices.Compact(adapters)) != len(e.state.Adapters) {
					t.Fatalf("%s loaded an adapter twice: %v", e.name, e.state.Adapters)
				}
			}
		}
		settle(t, r, s, issuer, tree, now.Add(timing.Wait+timing.Backoff))
		for _, e := range s {
			if e.state.Version != "v3" || len(e.state.Adapters) != 2 {
				t.Fatalf("%s ends as %+v", e.name, e.state)
			}
		}
	})
}
