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

func TestRestartedEngineStartsWithFreshState(t *testing.T) {
	// An engine crashes behind a network failure and restarts under its old name. The new
	// process does not know the old streams and sends no reset: without retiring the former
	// incarnation callers would wait in silence, and the engine would keep its former load and
	// suspicion.
	f := newFleet(&Options{Process: &settings.Process{}, Random: rand.New(rand.NewPCG(1, 2))}, noCalls)
	f.mu.Lock()
	former := f.node(announced(100))
	f.begin(time.Now(), &work{lead: former, part: time.Second, heldTokens: 5000})
	former.suspicion.raise(time.Now())
	f.mu.Unlock()
	here, there := net.Pipe()
	defer there.Close()
	f.occupy(former, newUpstreamConn(here))

	f.mu.Lock()
	present := f.node(announced(200))
	f.mu.Unlock()
	if present == former || present.key == former.key || present.ownLoad(time.Now()) != (loadshare.Load{}) {
		t.Errorf("the restarted engine has the load %+v", present.ownLoad(time.Now()))
	}
	if _, err := here.Read(make([]byte, 1)); err == nil {
		t.Error("a call still waits for the former incarnation")
	}
	if !former.replaced {
		t.Error("the former incarnation still gets calls")
	}
	idle, other := net.Pipe()
	defer other.Close()
	f.keep(former, newUpstreamConn(idle), 0)
	if len(former.idle) != 0 {
		t.Error("a connection to the former incarnation is kept for the next call")
	}
}

func TestLateAnnouncementOfAFormerIncarnationIsIgnored(t *testing.T) {
	// A heartbeat of a former incarnation arrives seconds late through another instance, or
	// another program sends one without an incarnation. The streams of the current incarnation
	// must continue.
	for _, late := range []uint64{upstream.UnknownIncarnation, 100} {
		f := newFleet(&Options{Process: &settings.Process{}, Random: rand.New(rand.NewPCG(1, 2))}, noCalls)
		f.mu.Lock()
		present := f.node(announced(200))
		f.node(announced(late))
		f.mu.Unlock()
		if present.replaced {
			t.Errorf("an announcement of incarnation %d retires the current one", late)
		}
	}
}

func TestFirstStatedIncarnationKeepsCallsInFlight(t *testing.T) {
	// The first heartbeat known of an engine was sent by a program that does not state the
	// incarnation; the engine's own follows. Both may be of the same incarnation, so that the
	// calls in flight must not be aborted.
	f := newFleet(&Options{Process: &settings.Process{}, Random: rand.New(rand.NewPCG(1, 2))}, noCalls)
	f.mu.Lock()
	defer f.mu.Unlock()
	first := f.node(announced(upstream.UnknownIncarnation))
	f.node(announced(200))
	if first.replaced {
		t.Error("the calls in flight are aborted")
	}
}
