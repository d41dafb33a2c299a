package control

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"celeryport/standin"
	"celeryport/standin/enginemodel"
	"celeryport/upstream"
	"celeryport/upstream/wire"
)

// testEngine is a simulated engine on loopback.
type testEngine struct {
	address  string
	fencing  upstream.Fencing
	sequence uint64
}

func startEngine(t *testing.T, fencing upstream.Fencing) *testEngine {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &testEngine{address: listener.Addr().String(), fencing: fencing}
	engine := standin.NewEngine(standin.EngineOptions{
		Options: standin.Options{Name: e.address, Targets: []string{"m"}, Version: "v1", Incarnation: 1},
		Model:   enginemodel.DefaultConfig(), Fencing: fencing,
	})
	go func() { _ = engine.Serve(listener) }()
	t.Cleanup(engine.Close)
	return e
}

// state fetches the state of the engine.
func (e *testEngine) state(t *testing.T) wire.EngineState {
	t.Helper()
	_, body, err := fasthttp.GetTimeout(nil, "http://"+e.address+wire.PathState, 5*time.Second)
	var state wire.EngineState
	if err != nil || json.Unmarshal(body, &state) != nil {
		t.Fatalf("state: %v: %s", err, body)
	}
	return state
}

// announce sends an announcement of the engine to an instance.
func (e *testEngine) announce(at *testNode) {
	e.sequence++
	at.node.Announce(upstream.Announcement{
		Name: e.address, Incarnation: 1, Sequence: e.sequence, Address: e.address,
		Targets: []string{"m"}, Version: "v1", Fencing: e.fencing,
	})
}

func TestEnginesFollowTheSettings(t *testing.T) {
	// The operator requests a new version of a model and adapters. The leader dies right
	// afterwards, and the operator requests the next version. Both kinds of engines must
	// reach the requested state, and none may execute an order twice.
	t.Parallel()
	f := newFleet(t, 3, 0)
	engines := []*testEngine{startEngine(t, upstream.FencingChecked), startEngine(t, upstream.FencingIgnored)}
	wished := func(version string) []byte {
		return append(testTree(1), fmt.Sprintf("[model.m]\nversion = %s\nadapters = a, b\n", version)...)
	}
	reached := func(version string) {
		f.await("the engines serve "+version, func() bool {
			done := true
			for _, e := range engines {
				for _, m := range f.members {
					if m.stop != nil {
						e.announce(m)
					}
				}
				state := e.state(t)
				done = done && state.Version == version && slices.Equal(state.Adapters, []string{"a", "b"})
			}
			return done
		})
	}
	first := f.apply(0, "a", wished("v2"))
	reached("v2")
	before := engines[0].state(t)
	f.crash(f.leader())
	f.apply(first.Revision, "b", wished("v3"))
	reached("v3")
	if after := engines[0].state(t); after.FenceTerm <= before.FenceTerm {
		t.Fatalf("fence %d after %d", after.FenceTerm, before.FenceTerm)
	}
	for _, e := range engines {
		orders := e.state(t).Orders
		if slices.Sort(orders); len(slices.Compact(slices.Clone(orders))) != len(orders) || len(orders) != 4 {
			t.Fatalf("orders executed: %v", orders)
		}
	}
}
