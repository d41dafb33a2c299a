package forward

import (
	"context"
	"net"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/httpwire"
	"celeryport/loadshare"
	"celeryport/placement"
	"celeryport/settings"
	"celeryport/verdict"
)

// Guards against an arbiter that names a helper which other instances have already found to be
// gone.
func TestArbiterPassesOverHelpersThatRefusedOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, "front-1", "front-1")
		s.fleet.options.Dial = func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("gone") }
		avoided := func() int {
			s.fleet.mu.Lock()
			defer s.fleet.mu.Unlock()
			unlimited, _, _ := s.fleet.candidates(time.Now(), s.options.Plane.View().Upstreams, "model")
			return len(slices.DeleteFunc(slices.Clone(unlimited.engines), func(e placement.Engine) bool { return !e.Avoid }))
		}
		avoided() // registers all engines
		ask := longAsk()
		ask.ID = "front-2/call/1"
		s.fleet.mu.Lock()
		for _, n := range s.fleet.nodes {
			ask.Refused = []loadshare.Key{n.key}
		}
		s.fleet.mu.Unlock()
		s.handleAsk(&net.UDPAddr{}, ask)
		synctest.Wait()
		if got := avoided(); got != 1 {
			t.Errorf("%d engines are avoided, want only the one that refused", got)
		}
	})
}

// Guards against sending a call to more engines than its route allows, and against asking a
// helper again that has refused.
func TestRejectedCallIsPlacedWithoutTheHelperAtFault(t *testing.T) {
	s := newTestServer(t, "front-1", "front-1")
	x := &exchange{
		server: s, call: &Call{ID: "call", PromptTokens: 180_000}, route: &settings.Route{MaxSends: 2},
		service: &s.options.Plane.View().Tree.Forwarding.Services[0],
	}
	reject := func(lead, helper loadshare.Key) {
		x.recordRejection(&work{lead: &node{key: lead}}, &outcome{reached: true, helper: &node{key: helper}})
	}
	reject(1, 7)
	if ask := x.newAsk(); len(ask.LeadCandidates) != 0 || !slices.Equal(ask.Tried, []loadshare.Key{7}) || !slices.Equal(ask.Refused, []loadshare.Key{7}) {
		t.Errorf("ask after one rejection: %+v", ask)
	}
	reject(2, 8)
	if ask := x.newAsk(); !slices.Equal(ask.LeadCandidates, []loadshare.Key{1, 2}) || !slices.Equal(ask.Tried, []loadshare.Key{7, 8}) {
		t.Errorf("ask after as many engines as the route allows: %+v", ask)
	}
}

// Guards against the end of all calls at a sound engine that rejects a prompt because another engine answers at the
// address of a helper.
func TestRejectionThatNamesAHelperIsNoEndOfTheLead(t *testing.T) {
	for name, test := range map[string]struct {
		atFault  string
		replaced bool
	}{
		"names no engine": {"", true},
		"names the lead":  {"lead", true},
		"names a helper":  {"helper", false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sent, _ := newSilentSend(t, 0, 100)
				fleet := sent.x.server.fleet
				fleet.options.Dial = dialAfter(t, 0, nil)
				helper := &node{address: "10.0.9.9:80", key: 9}
				sent.work.helpers = []*node{helper}
				other, far := net.Pipe()
				t.Cleanup(func() { other.Close(); far.Close() })
				fleet.occupy(sent.node, newUpstreamConn(other)) // that of another call
				address := map[string]string{"lead": sent.node.address, "helper": helper.address}[test.atFault]
				head := &httpwire.ResponseHead{Status: http.StatusMisdirectedRequest, Body: httpwire.Framing{Kind: httpwire.Sized}}
				o := sent.handleRejection(t.Context(), head, Answer{NotRun: true, WrongIncarnation: true, AtFault: address})
				synctest.Wait()
				if ended := other.SetDeadline(time.Time{}) != nil; sent.node.replaced != test.replaced || ended != test.replaced {
					t.Errorf("replaced: %t, the other call ended: %t", sent.node.replaced, ended)
				}
				if o.verdict != verdict.NotRun || o.otherAtFault == test.replaced || (o.helper == helper) == test.replaced {
					t.Errorf("outcome %+v", o)
				}
			})
		})
	}
}

// Guards against evidence against a helper that lacks only memory that this instance has given up, and against a helper that
// goes on getting parts although it has refused one or was replaced.
func TestRejectionForMemoryThatWasGivenUpIsNoRefusalOfTheHelper(t *testing.T) {
	for _, test := range []struct{ freed, replaced, refused bool }{{true, false, false}, {false, false, true}, {true, true, true}} {
		synctest.Test(t, func(t *testing.T) {
			sent, _ := newSilentSend(t, 0, 100)
			sent.x.server.fleet.options.Dial = dialAfter(t, 0, nil)
			helper := &node{address: "10.0.9.9:80", key: 9}
			r := &reservation{node: helper}
			r.freed.Store(test.freed)
			sent.work.helpers, sent.work.memory = []*node{helper}, []*reservation{r}
			head := &httpwire.ResponseHead{Status: http.StatusServiceUnavailable, Body: httpwire.Framing{Kind: httpwire.Sized}}
			o := sent.handleRejection(t.Context(), head, Answer{NotRun: true, WrongIncarnation: test.replaced, AtFault: helper.address})
			sent.x.server.fleet.mu.Lock()
			paused := helper.suspicion.paused(time.Now())
			sent.x.server.fleet.mu.Unlock()
			synctest.Wait()
			if o.verdict != verdict.NotRun || !o.otherAtFault || (o.helper != nil) != test.refused || paused != test.refused {
				t.Errorf("%+v: outcome %+v, paused: %t", test, o, paused)
			}
		})
	}
}
