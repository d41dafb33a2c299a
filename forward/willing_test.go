package forward

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"celeryport/arbiter"
	"celeryport/loadshare"
	"celeryport/settings"
	"celeryport/upstream"
)

// newRestServer returns a server, and its node for one of the engines.
func newRestServer(t *testing.T) (*Server, *node) {
	t.Helper()
	s := newTestServer(t, "front-1", "front-1")
	s.options.Metrics = NewMetrics(prometheus.NewRegistry())
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	return s, s.fleet.node(&s.options.Plane.View().Upstreams.Upstreams[0])
}

// Guards against a call that was given an engine before that asked for rest, or said that it
// leaves, and reaches it after that.
func TestSendIsWithdrawnFromUnwillingEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for want, say := range map[error]Answer{errResting: {Rest: time.Second}, errLeaving: {Leaving: true}} {
			s, n := newRestServer(t)
			other := &node{}
			asLead, asHelper := &work{lead: n}, &work{lead: other, helpers: []*node{n}}
			if at, why := s.fleet.withdrawn(asLead); at != nil {
				t.Errorf("withdrawn although the engine said nothing: %v", why)
			}
			s.fleet.noteAnswer(n, &say)
			for _, w := range []*work{asLead, asHelper} {
				if at, why := s.fleet.withdrawn(w); at != n || !errors.Is(why, want) {
					t.Errorf("the send goes on after %v", want)
				}
			}
		}
	})
}

// Guards against an engine that is asked how it is although it wants nothing.
func TestUnwillingEngineIsNotPolled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, n := newRestServer(t)
		if !s.fleet.duePoll(time.Now(), n) {
			t.Error("no poll is due")
		}
		s.fleet.noteAnswer(n, &Answer{Rest: 3 * time.Second})
		if s.fleet.duePoll(time.Now().Add(2*pollInterval), n) {
			t.Error("it is polled in its rest")
		}
		if !s.fleet.duePoll(time.Now().Add(5*time.Second), n) {
			t.Error("it is not polled after its rest")
		}
	})
}

// Guards against forgetting what an engine asked for when its announcements cease for a while.
func TestUnlistedEngineIsRememberedWhileItIsUnwilling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for name, say := range map[string]Answer{"rest": {Rest: time.Minute}, "leaving": {Leaving: true}} {
			s, n := newRestServer(t)
			s.fleet.noteAnswer(n, &say)
			sweep := func() {
				s.fleet.mu.Lock()
				defer s.fleet.mu.Unlock()
				s.fleet.sweep(time.Now(), upstream.NewSnapshot(2, time.Now(), nil))
			}
			time.Sleep(30 * time.Second)
			sweep()
			if s.fleet.nodes[n.start] != n {
				t.Errorf("%s: forgotten after 30s", name)
			}
			time.Sleep(leavingKept)
			sweep()
			if s.fleet.nodes[n.start] != nil {
				t.Errorf("%s: never forgotten", name)
			}
		}
	})
}

// Guards against keeping the long prompts of all instances from an engine that has asked only the
// instance that places them for rest.
func TestArbiterGivesOthersEnginesThatAskedItForRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, n := newRestServer(t)
		s.fleet.noteAnswer(n, &Answer{Rest: 3 * time.Second})
		if keys := (&arbiterWorld{server: s, now: time.Now()}).Fleet("model").Keys; !slices.Contains(keys, n.key) {
			t.Error("others don't get the engine")
		}
		x := &exchange{server: s, call: &Call{}, route: &settings.Route{MaxSends: 2}, service: s.options.Plane.View().Tree.Forwarding.Service("model"), began: time.Now()}
		if ask := x.newAsk(); !slices.Contains(ask.Tried, n.key) {
			t.Error("the own ask does not leave the engine out")
		}
	})
}

// Guards against giving an engine away to others that said that it leaves.
func TestArbiterGivesNobodyEnginesThatSayThatTheyLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, n := newRestServer(t)
		s.fleet.noteAnswer(n, &Answer{Leaving: true})
		if keys := (&arbiterWorld{server: s, now: time.Now()}).Fleet("model").Keys; slices.Contains(keys, n.key) {
			t.Error("the engine is given away")
		}
	})
}

// Guards against what another process says of itself at the address of an engine that has ended.
func TestWordsOfAnotherIncarnationSayNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, n := newRestServer(t)
		rate := 1.0
		s.fleet.noteAnswer(n, &Answer{Elsewhere: true, NotRun: true, Rest: time.Second, Leaving: true, Rate: &rate})
		s.fleet.mu.Lock()
		defer s.fleet.mu.Unlock()
		if _, named := s.fleet.rates.table.Rate(time.Now(), n.key); named || n.unwilling(time.Now()) != nil {
			t.Error("they count for the engine that was meant")
		}
	})
}

// Guards against following an arbiter that does not know that an engine asked this instance for
// rest.
func TestPlaceAtARestingEngineIsNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, n := newRestServer(t)
		s.fleet.noteAnswer(n, &Answer{Rest: 3 * time.Second})
		view := s.options.Plane.View()
		x := &exchange{server: s, call: &Call{PromptTokens: 180_000}, route: &settings.Route{MaxSends: 2}, service: view.Tree.Forwarding.Service("model")}
		s.fleet.mu.Lock()
		defer s.fleet.mu.Unlock()
		other := s.fleet.node(&view.Upstreams.Upstreams[1])
		for name, answer := range map[string]*arbiter.Answer{
			"lead":   {Lead: n.key, Helpers: []loadshare.Key{other.key}},
			"helper": {Lead: other.key, Helpers: []loadshare.Key{n.key}},
		} {
			if _, unusable := x.workFor(answer); !slices.Contains(unusable, n.key) || slices.Contains(unusable, other.key) {
				t.Errorf("the resting engine is used as %s", name)
			}
		}
	})
}

// Guards against a call with its last send left that finds out for others whether an engine
// accepts requests after its rest.
func TestLastSendIsNoTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, n := newRestServer(t)
		s.budgets.budget = RepeatBudget{Ratio: 1, Slack: 10, Window: 10 * time.Second}
		s.fleet.noteAnswer(n, &Answer{Rest: time.Second})
		time.Sleep(2 * time.Second)
		for sends, wanted := range map[int]bool{1: false, 2: true} {
			x := &exchange{server: s, call: &Call{}, route: &settings.Route{MaxSends: sends}, service: s.options.Plane.View().Tree.Forwarding.Service("model"), began: time.Now()}
			s.fleet.mu.Lock()
			free, open, _ := s.fleet.candidates(time.Now(), s.options.Plane.View().Upstreams, "model")
			x.leaveOut(time.Now(), free, open)
			found := slices.ContainsFunc(free.nodes, func(other *node) bool { return other == n })
			s.fleet.mu.Unlock()
			if found != wanted {
				t.Errorf("with %d sends left the engine is taken: %t", sends, found)
			}
		}
	})
}
