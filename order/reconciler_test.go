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

// engineModel simulates an engine that executes orders.
type engineModel struct {
	name    string
	fencing upstream.Fencing
	state   wire.EngineState
	ran     []string // IDs of all executed orders
}

func newEngine(name string, fencing upstream.Fencing, models ...string) *engineModel {
	return &engineModel{name: name, fencing: fencing, state: wire.EngineState{Incarnation: 1, Models: models}}
}

// execute runs an order unless the engine checks fencing numbers and the
// order's is outdated.
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

// engineSet is a set of engines, all announced and fresh.
type engineSet map[string]*engineModel

func (s engineSet) snapshot(now time.Time) *upstream.Snapshot {
	registry := upstream.NewRegistry(time.Hour)
	for _, e := range s {
		registry.Apply(now, upstream.Announcement{
			Name: e.name, Incarnation: e.state.Incarnation, Sequence: uint64(now.UnixNano()),
			Address: e.name, Kind: upstream.Engine, Targets: e.state.Models, Fencing: e.fencing,
		})
	}
	return registry.Snapshot(now)
}

// answer executes an action and returns its result.
func (s engineSet) answer(a Action) Result {
	e := s[a.Engine]
	result := Result{Engine: a.Engine, Incarnation: a.Incarnation, Order: a.Order}
	if a.Order != nil {
		result.Accepted = e.execute(*a.Order)
	}
	reported := e.state
	result.State = &reported
	return result
}

func lostAnswer(a Action) Result {
	return Result{Engine: a.Engine, Incarnation: a.Incarnation, Order: a.Order, Reason: "no answer"}
}

func issuerOf(term uint64, takenAt time.Time) Issuer {
	return Issuer{Fence: state.Fence{Term: term, Index: term}, Since: takenAt, Until: takenAt.Add(time.Hour)}
}

// testingT is the interface shared by testing.T and rapid.T.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// reconcile runs rounds in which every answer arrives until no actions remain.
func reconcile(t testingT, r *Reconciler, s engineSet, issuer Issuer, tree *settings.Tree, now time.Time) time.Time {
	t.Helper()
	for range 100 {
		actions := r.Step(now, issuer, tree, s.snapshot(now))
		ordered := false
		for _, a := range actions {
			r.HandleResult(now, s.answer(a))
			ordered = ordered || a.Order != nil
		}
		if len(actions) == 0 && !ordered {
			return now
		}
		now = now.Add(time.Second)
	}
	t.Fatalf("not reconciled after 100 rounds: %+v", r.Records())
	return now
}

func TestDesiredStateIsReached(t *testing.T) {
	treeWith := func(m settings.Model) *settings.Tree { return &settings.Tree{Models: []settings.Model{m}} }
	tests := map[string]struct {
		engines engineSet
		tree    *settings.Tree
		want    map[string]wire.EngineState
	}{
		"a model on spare engines": {
			engineSet{"e1": newEngine("e1", upstream.FencingIgnored, "m"), "e2": newEngine("e2", upstream.FencingIgnored), "e3": newEngine("e3", upstream.FencingIgnored)},
			treeWith(settings.Model{Name: "m", Replicas: 2}),
			map[string]wire.EngineState{"e1": {Models: []string{"m"}}, "e2": {Models: []string{"m"}}, "e3": {}},
		},
		"too many replicas": {
			engineSet{"e1": newEngine("e1", upstream.FencingIgnored, "m"), "e2": newEngine("e2", upstream.FencingIgnored, "m")},
			treeWith(settings.Model{Name: "m", Replicas: 1}),
			map[string]wire.EngineState{"e1": {Models: []string{"m"}}, "e2": {Models: []string{}}},
		},
		"version and adapters": {
			engineSet{"e1": newEngine("e1", upstream.FencingChecked, "m")},
			treeWith(settings.Model{Name: "m", Version: "v2", Adapters: []string{"a", "b"}}),
			map[string]wire.EngineState{"e1": {Models: []string{"m"}, Version: "v2", Adapters: []string{"a", "b"}}},
		},
		"role": {
			engineSet{"e1": newEngine("e1", upstream.FencingChecked, "m"), "e2": newEngine("e2", upstream.FencingIgnored)},
			treeWith(settings.Model{Name: "m", Role: "prefill"}),
			map[string]wire.EngineState{"e1": {Models: []string{"m"}, Role: "prefill"}, "e2": {}},
		},
		"two models on one engine with different versions": {
			engineSet{"e1": newEngine("e1", upstream.FencingIgnored, "m", "n")},
			&settings.Tree{Models: []settings.Model{{Name: "m", Version: "v2"}, {Name: "n", Version: "v3"}}},
			map[string]wire.EngineState{"e1": {Models: []string{"m", "n"}, Version: "v2"}},
		},
		"no desired state": {
			engineSet{"e1": newEngine("e1", upstream.FencingIgnored, "m")},
			treeWith(settings.Model{Name: "m"}),
			map[string]wire.EngineState{"e1": {Models: []string{"m"}}},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			issuer := issuerOf(1, testStart)
			reconcile(t, NewReconciler(DefaultTiming()), test.engines, issuer, test.tree, testStart.Add(DefaultTiming().TakeoverDelay))
			for engine, want := range test.want {
				got := test.engines[engine].state
				if !slices.Equal(got.Models, want.Models) || !slices.Equal(got.Adapters, want.Adapters) || got.Version != want.Version || got.Role != want.Role {
					t.Errorf("%s is %+v, want %+v", engine, got, want)
				}
			}
		})
	}
}

func TestEngineWithoutFencingIsNotCalledBeforeFormerIssuersStopped(t *testing.T) {
	// The leader changes while the former one is sending orders. An engine that
	// ignores fencing numbers would execute the orders of both, in any order,
	// if the new issuer did not wait until the former one must have stopped.
	tree := &settings.Tree{Models: []settings.Model{{Name: "m", Version: "v2"}}}
	for _, fencing := range []upstream.Fencing{upstream.FencingIgnored, upstream.FencingChecked} {
		s := engineSet{"e1": newEngine("e1", fencing, "m")}
		r := NewReconciler(DefaultTiming())
		early := r.Step(testStart.Add(time.Second), issuerOf(2, testStart), tree, s.snapshot(testStart))
		if called := len(early) > 0; called != (fencing == upstream.FencingChecked) {
			t.Errorf("fencing %d: called before the takeover delay: %v", fencing, called)
		}
	}
}

func TestStateIsReadAfterALostAnswer(t *testing.T) {
	// The engine executes an order and the network fails before it answers. If
	// the order were resent without a read it would be executed twice, and it
	// would revert a manual change made to the engine in the meantime.
	for _, executed := range []bool{true, false} {
		t.Run(fmt.Sprintf("executed=%v", executed), func(t *testing.T) {
			s := engineSet{"e1": newEngine("e1", upstream.FencingIgnored, "m")}
			tree := &settings.Tree{Models: []settings.Model{{Name: "m", Adapters: []string{"a"}}}}
			r, issuer := NewReconciler(DefaultTiming()), issuerOf(1, testStart)
			now := testStart.Add(DefaultTiming().TakeoverDelay)
			r.HandleResult(now, s.answer(r.Step(now, issuer, tree, s.snapshot(now))[0]))
			order := r.Step(now, issuer, tree, s.snapshot(now))[0]
			if executed {
				s.answer(order)
			}
			r.HandleResult(now, lostAnswer(order))
			if early := r.Step(now.Add(time.Millisecond), issuer, tree, s.snapshot(now)); len(early) != 0 {
				t.Fatalf("called without a backoff after a lost answer: %+v", early)
			}
			now = now.Add(DefaultTiming().Backoff)
			next := r.Step(now, issuer, tree, s.snapshot(now))
			if len(next) != 1 || next[0].Order != nil {
				t.Fatalf("state not read after a lost answer: %+v", next)
			}
			r.HandleResult(now, s.answer(next[0]))
			reconcile(t, r, s, issuer, tree, now)
			if len(s["e1"].ran) != 1 || !slices.Equal(s["e1"].state.Adapters, []string{"a"}) {
				t.Fatalf("orders executed %v, adapters %v", s["e1"].ran, s["e1"].state.Adapters)
			}
		})
	}
}

func TestNoOrderWithoutTheLease(t *testing.T) {
	// The leader is partitioned from the other voters. Another leader may
	// already be sending orders.
	s := engineSet{"e1": newEngine("e1", upstream.FencingChecked, "m")}
	tree := &settings.Tree{Models: []settings.Model{{Name: "m", Version: "v2"}}}
	issuer := issuerOf(1, testStart)
	if actions := NewReconciler(DefaultTiming()).Step(issuer.Until, issuer, tree, s.snapshot(testStart)); len(actions) != 0 {
		t.Fatalf("actions after the end of the lease: %+v", actions)
	}
}

func TestChangingIssuersSendNoOrderTwice(t *testing.T) {
	// Issuers follow each other, answers are lost or late, and engines restart.
	// Each engine must end in the desired state and never be ordered to load an
	// adapter that it already has.
	rapid.Check(t, func(t *rapid.T) {
		tree := &settings.Tree{Models: []settings.Model{{Name: "m", Version: "v3", Adapters: []string{"a", "b"}}}}
		s := engineSet{"e1": newEngine("e1", upstream.FencingIgnored, "m"), "e2": newEngine("e2", upstream.FencingChecked, "m")}
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
					r.HandleResult(now, lostAnswer(a))
				case 1:
					s.answer(a)
					r.HandleResult(now, lostAnswer(a))
				default:
					r.HandleResult(now, s.answer(a))
				}
			}
			for _, e := range s {
				if adapters := slices.Sorted(slices.Values(e.state.Adapters)); len(slices.Compact(adapters)) != len(e.state.Adapters) {
					t.Fatalf("%s loaded an adapter twice: %v", e.name, e.state.Adapters)
				}
			}
		}
		reconcile(t, r, s, issuer, tree, now.Add(timing.TakeoverDelay+timing.Backoff))
		for _, e := range s {
			if e.state.Version != "v3" || len(e.state.Adapters) != 2 {
				t.Fatalf("%s ends as %+v", e.name, e.state)
			}
		}
	})
}
