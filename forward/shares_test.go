package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"celeryport/loadshare"
	"celeryport/quota"
	"celeryport/settings"
	"celeryport/verdict"
)

// newShareServer returns a server whose view grants an organisation far above its share.
func newShareServer(t *testing.T, enabled bool) *Server {
	t.Helper()
	s := newTestServer(t, "front-1", "front-1")
	s.options.Process.OrganisationShares = enabled
	s.shares = newShares(&s.options)
	return s
}

func shareCall(s *Server, organisation string, prompt int) *exchange {
	return &exchange{
		server: s, call: &Call{ID: "c", PromptTokens: prompt, AnswerTokens: 100}, organisation: organisation,
		route: &settings.Route{Name: "chat", Objective: 300 * time.Millisecond, MaxSends: 3}, service: &s.options.Plane.View().Tree.Forwarding.Services[0],
		began: time.Now(), deadline: time.Now().Add(10 * time.Second),
	}
}

// grantExcess makes the totals of the flooding organisation known to a server.
func grantExcess(s *Server) {
	view := *s.options.Plane.View()
	view.GrantRound++
	view.Grants = []quota.Grant{{Organisation: "flood", Lease: quota.DefaultLease, FleetDemand: 20e6, FleetServed: 5e6, FleetShare: 1e6}}
	s.options.Plane = fixedPlane{view: &view}
	if s.shares != nil {
		s.shares.plane = s.options.Plane
	}
}

// fillEngines occupies all slots of all engines except those of the first few.
func fillEngines(s *Server, free int) {
	view := s.options.Plane.View()
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	unlimited, _, _ := s.fleet.candidates(time.Now(), view.Upstreams, "model")
	for _, n := range unlimited.nodes[free:] {
		n.load = loadshare.Load{Streams: 16}
	}
}

// Guards against an organisation far above its share that takes the last slots from the others, and
// against refusals for it while engines are idle or while shares are switched off.
func TestShortPromptsAboveTwiceTheShareAreRefusedWhileNoSlotIsFree(t *testing.T) {
	cases := map[string]struct {
		enabled      bool
		organisation string
		free         int
		resumes      bool
		refused      bool
	}{
		"above its share":    {enabled: true, organisation: "flood", refused: true},
		"switched off":       {organisation: "flood"},
		"engines are idle":   {enabled: true, organisation: "flood", free: 4},
		"within its share":   {enabled: true, organisation: "other"},
		"no organisation":    {enabled: true},
		"a resumed response": {enabled: true, organisation: "flood", resumes: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newShareServer(t, c.enabled)
				fillEngines(s, c.free)
				x := shareCall(s, c.organisation, 500)
				x.call.Resumes = c.resumes
				x.countOffered(x.began)
				grantExcess(s)
				refused := 0
				const calls = 40
				for range calls {
					x.withinShare = false
					if _, _, err := x.tryPlace(); err != nil && verdict.From(err).Reason == verdict.ReasonShare {
						refused++
						if failed := verdict.From(err); failed.Verdict != verdict.NotRun || failed.RetryAfter < busyRetry {
							t.Fatalf("refused with %+v", failed)
						}
					}
				}
				if (refused > 0) != c.refused || refused > calls*19/20 {
					t.Errorf("%d of %d calls are refused", refused, calls)
				}
			})
		})
	}
}

// Guards against a changed message to the arbiter, or statements to the control group, while shares
// are switched off.
func TestNothingIsSentWhileSharesAreOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, enabled := range []bool{false, true} {
			s := newShareServer(t, enabled)
			x := shareCall(s, "flood", 180_000)
			x.countOffered(x.began)
			x.countPlaced(x.began)
			ask := x.newAsk()
			if got := ask.Organisation != "" || len(s.Demands()) > 0; got != enabled {
				t.Errorf("enabled %t: the ask names %q, %d demands are stated", enabled, ask.Organisation, len(s.Demands()))
			}
		}
	})
}

// Guards against an arbiter that decides on calls of other instances without the totals of their
// organisations.
func TestArbiterStatesTheOrganisationsOfItsAsks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newShareServer(t, true)
		ask := longAsk()
		ask.Organisation = "elsewhere"
		s.handleAsk(nil, ask)
		demands := s.Demands()
		if len(demands) != 1 || demands[0].Organisation != "elsewhere" || demands[0].TokensPerSecond != 0 {
			t.Errorf("stated %+v, want the organisation without a demand", demands)
		}
	})
}
