package forward

import (
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"celeryport/loadshare"
	"celeryport/settings"
	"celeryport/upstream"
)

func announced(incarnation uint64) *upstream.Upstream {
	return &upstream.Upstream{Announcement: upstream.Announcement{Name: "e1", Incarnation: incarnation, Address: "10.0.0.1:80", Targets: []string{"model"}}}
}

func TestRestartedEngineStartsWithoutItsPast(t *testing.T) {
	// An engine crashes behind a cut and starts again under its old id. It knows nothing
	// of the streams that it wrote and sends no reset: callers would wait in silence,
	// and the engine would look as loaded and as doubtful as before.
	f := newFleet(&Options{Process: &settings.Process{}, Random: rand.New(rand.NewPCG(1, 2))}, noArrivals)
	f.mu.Lock()
	former := f.node(announced(100))
	f.begin(time.Now(), &work{lead: former, part: time.Second, held: 5000})
	former.suspicion.raise(time.Now())
	f.mu.Unlock()
	here, there := net.Pipe()
	defer there.Close()
	f.occupy(former, newUpstreamConn(here))

	f.mu.Lock()
	present := f.node(announced(200))
	f.mu.Unlock()
	if present == former || present.key == former.key || present.own(time.Now()) != (loadshare.Load{}) {
		t.Errorf("the engine starts with %+v", present.own(time.Now()))
	}
	if _, err := here.Read(make([]byte, 1)); err == nil {
		t.Error("a call still waits for the former start")
	}
	if !former.replaced {
		t.Error("the former start still takes calls")
	}
	idle, other := net.Pipe()
	defer other.Close()
	f.keep(former, newUpstreamConn(idle), 0)
	if len(former.idle) != 0 {
		t.Error("a connection to the former start is kept for the next call")
	}
}

func TestLateNewsOfAFormerStartEndsNothing(t *testing.T) {
	// A heartbeat of the former start comes seconds late, by way of another instance,
	// or one without the time of the start from another program. The streams of the
	// present start must go on.
	for _, late := range []uint64{upstream.Unstated, 100} {
		f := newFleet(&Options{Process: &settings.Process{}, Random: rand.New(rand.NewPCG(1, 2))}, noArrivals)
		f.mu.Lock()
		present := f.node(announced(200))
		f.node(announced(late))
		f.mu.Unlock()
		if present.replaced {
			t.Errorf("news of the start %d ends the present one", late)
		}
	}
}

func TestFirstStatedStartLeavesCallsAlone(t *testing.T) {
	// An engine's first heartbeat is taken from a program that leaves out the time of
	// the start; the engine's own follows. It may be the same start, so that the calls
	// which it answers must not be broken off.
	f := newFleet(&Options{Process: &settings.Process{}, Random: rand.New(rand.NewPCG(1, 2))}, noArrivals)
	f.mu.Lock()
	defer f.mu.Unlock()
	first := f.node(announced(upstream.Unstated))
	f.node(announced(200))
	if first.replaced {
		t.Error("the calls are broken off")
	}
}
