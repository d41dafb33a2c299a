package forward

import (
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"celeryport/arbiter"
	"celeryport/datagram"
	"celeryport/loadshare"
	"celeryport/settings"
	"celeryport/upstream"
)

// staleArbiter is a connection that answers asks like an arbiter that does not know yet that an
// engine is leaving: it assigns that engine until an ask excludes it.
type staleArbiter struct {
	net.PacketConn
	server           *Server
	leaving, staying loadshare.Key
	asks             int
}

func (a *staleArbiter) WriteTo(data []byte, _ net.Addr) (int, error) {
	kind, content, err := datagram.Open("key", data)
	if err != nil || kind != datagram.ArbiterRequest {
		return len(data), err
	}
	ask, err := arbiter.DecodeRequest(content)
	if err != nil {
		return 0, err
	}
	a.asks++
	answer := &arbiter.Answer{ID: ask.ID, Decision: arbiter.Placed, Lead: a.leaving, Part: time.Second}
	if slices.Contains(ask.Tried, a.leaving) {
		answer.Lead = a.staying
	}
	go a.server.handleAnswer(answer)
	return len(data), nil
}

func TestArbiterIsAskedAgainWhenAnEngineMayNotBeUsed(t *testing.T) {
	// Engines are replaced, and the arbiter learns later than this instance that one is leaving.
	// If the instance then placed its long prompts itself, it would assign parts to engines that
	// the arbiter assigns to others: their callers waited four seconds for a first event that
	// was predicted for a third of a second.
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, "front-1", "arbiter")
		view := *s.options.Plane.View()
		upstreams := slices.Clone(view.Upstreams.Upstreams)
		upstreams[0].Announcement.Leaving = true
		view.Upstreams = upstream.NewSnapshot(2, time.Now(), upstreams)
		s.options.Plane = fixedPlane{view: &view}
		s.fleet.mu.Lock()
		standIn := &staleArbiter{server: s, leaving: s.fleet.node(&upstreams[0]).key, staying: s.fleet.node(&upstreams[1]).key}
		s.fleet.mu.Unlock()
		s.arbitration.conn = standIn
		x := &exchange{
			server: s, call: &Call{ID: "call", PromptTokens: 180_000}, route: &settings.Route{Objective: 4 * time.Second},
			service: &view.Tree.Forwarding.Services[0], deadline: time.Now().Add(15 * time.Second),
		}
		w, err, decided := x.placeLong(t.Context())
		if err != nil || !decided {
			t.Fatalf("the arbiter did not decide: %v", err)
		}
		if w.lead.key != standIn.staying || standIn.asks != 2 {
			t.Errorf("after %d asks the call goes to %s", standIn.asks, w.lead.name)
		}
	})
}
