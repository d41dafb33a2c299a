package entry

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"celeryport/control"
	"celeryport/membership"
	"celeryport/settings"
	"celeryport/upstream/wire"
)

func TestSweepFreesOnlyWhatHasNoLiveOwner(t *testing.T) {
	// An instance is killed and nothing cancels its requests; or a cancel of this instance
	// was lost with its connection. The memory would stay reserved until the engine
	// restarts. Memory of requests of live instances must be left alone, or their answers
	// would break off.
	warmUp(t)
	const young, old = 500, 60_000
	tests := map[string]struct {
		owner string
		ageMs int64
		freed bool
	}{
		"owner is gone":                       {"gone/1", young, true},
		"owner was gone and restarted later":  {"gone/2", young, false},
		"owner restarted":                     {"b/0", young, true},
		"owner lives":                         {"b/1", old, false},
		"owner restarted, this view is stale": {"b/2", young, false},
		"unknown owner, just started":         {"new/1", young, false},
		"unknown owner, for a long time":      {"new/1", old, true},
		"own, its request has just ended":     {"a/1", young, false},
		"own, its request ended long ago":     {"a/1", old, true},
		"own, of an earlier incarnation":      {"a/0", young, true},
		"owner without an incarnation":        {"nonsense", old, true},
		"owner without a name, young":         {"", young, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			name := engineSweptBy(t, "a")
			inBubble(t, map[string]script{name: answers("ok")}, func(t *testing.T, b *testBed) {
				b.plane.mu.Lock()
				b.plane.view.Instances = append(b.plane.view.Instances,
					membership.Instance{Name: "gone", Incarnation: 1, State: membership.Gone})
				b.plane.mu.Unlock()
				engine := b.fakeUpstreams[name]
				engine.mu.Lock()
				engine.held = []wire.Holding{{Request: "r", Owner: test.owner, AgeMs: test.ageMs, Tokens: 1000}}
				engine.mu.Unlock()
				<-time.NewTimer(2*sweepInterval + cancelInterval).C
				engine.mu.Lock()
				left := len(engine.held)
				engine.mu.Unlock()
				if freed := left == 0; freed != test.freed {
					t.Errorf("freed is %v", freed)
				}
			})
		})
	}
}

// engineSweptBy returns the name of an engine that the instance sweeps.
func engineSweptBy(t *testing.T, instance string) string {
	t.Helper()
	view := &control.View{Instances: []membership.Instance{{Name: "a"}, {Name: "b"}}}
	s := &sweeper{options: &Options{Process: &settings.Process{Name: instance}}}
	for i := range 100 {
		if name := fmt.Sprintf("e%d", i); s.responsibleFor(view, name) {
			return name
		}
	}
	t.Fatalf("no engine is swept by %s", instance)
	return ""
}

func TestSweepKeepsRequestsInFlight(t *testing.T) {
	// A long answer is in progress on the engine. If the instance took its own request for
	// an orphan, it would cut off its own caller.
	warmUp(t)
	name := engineSweptBy(t, "a")
	var engine *fakeUpstream
	lasting := func(conn net.Conn, r *fasthttp.Request) {
		engine.mu.Lock()
		engine.held = []wire.Holding{{Request: string(r.Header.Peek(wire.HeaderRequestID)), Owner: "a/1", AgeMs: 60_000}}
		engine.mu.Unlock()
		startAnswer(conn, r, "one ")
		for range 8 {
			<-time.NewTimer(time.Second).C
			writeFrame(conn, frameOf(r, wire.Frame{Heartbeat: true}))
		}
		engine.mu.Lock()
		engine.held = nil // ends with the answer; if held longer, it would have no owner
		engine.mu.Unlock()
		endAnswer(conn, r, "one ")
	}
	inBubble(t, map[string]script{name: lasting}, func(t *testing.T, b *testBed) {
		engine = b.fakeUpstreams[name]
		got := b.do(completion("p", false))
		if _, cancels := engine.counts(); got.status != 200 || cancels != 0 {
			t.Errorf("status %d after %d cancels", got.status, cancels)
		}
	})
}

func TestCancelIsRepeatedUntilConfirmed(t *testing.T) {
	// A caller disconnects, and the cancel to the engine is lost with its connection
	// several times. If it were sent only once, the engine would keep computing and hold
	// memory for no caller.
	warmUp(t)
	const lost = 5
	endless := func(conn net.Conn, r *fasthttp.Request) {
		startAnswer(conn, r, "one ")
		_, _ = io.Copy(io.Discard, conn)
	}
	inBubble(t, map[string]script{"e1": endless}, func(t *testing.T, b *testBed) {
		engine := b.fakeUpstreams["e1"]
		engine.mu.Lock()
		engine.unansweredCancels = lost
		engine.mu.Unlock()
		b.leaveAfterFirstText(completion("p", true))
		<-time.NewTimer(10 * time.Second).C
		if _, cancels := engine.counts(); cancels != lost+1 {
			t.Errorf("%d cancels, want %d: one after the lost ones, and then no more", cancels, lost+1)
		}
		if unconfirmed := b.server.sender.canceller.unconfirmed(); unconfirmed != 0 {
			t.Errorf("%d cancels are unconfirmed", unconfirmed)
		}
	})
}
