package forward

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"celeryport/arbiter"
	"celeryport/control"
	"celeryport/loadshare"
	"celeryport/settings"
	"celeryport/upstream"
)

// showUpstreams replaces the upstreams in the view, after a change to copies of them.
func showUpstreams(s *Server, change func(upstreams []upstream.Upstream)) {
	view := *s.options.Plane.View()
	upstreams := slices.Clone(view.Upstreams.Upstreams)
	change(upstreams)
	view.Upstreams = upstream.NewSnapshot(view.Upstreams.Revision+1, time.Now(), upstreams)
	s.options.Plane = fixedPlane{view: &view}
}

// Guards against an arbiter that plans as if engines never terminated, that counts an engine as
// terminated after it is heard of again, and that has a new engine help at once.
func TestArbiterKnowsTerminationsAndNewEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, "front-1", "front-1")
		announce := func(upstreams []upstream.Upstream) {
			for i := range upstreams {
				upstreams[i].Announcement.Incarnation = max(7, upstreams[i].Announcement.Incarnation)
				upstreams[i].AnnouncedAt, upstreams[i].FreshUntil = time.Now(), time.Now().Add(3*time.Second)
			}
		}
		check := func(situation string, terminated int, frail ...string) {
			t.Helper()
			s.fleet.observeEndings(time.Now(), s.options.Plane.View())
			source := &arbiterFleetSource{server: s, now: time.Now()}
			seen := source.Fleet("model")
			if want := float64(terminated) / 180; math.Abs(seen.EndRate-want) > 1e-9 {
				t.Errorf("%s: rate %v, want %v", situation, seen.EndRate, want)
			}
			for i, e := range seen.Engines {
				for _, n := range s.fleet.nodes {
					if n.key == seen.Keys[i] && e.Frail != slices.Contains(frail, n.name) {
						t.Errorf("%s: %s frail %t", situation, n.name, e.Frail)
					}
				}
			}
		}
		showUpstreams(s, announce)
		for range 5 {
			check("calm", 0)
			time.Sleep(time.Second)
			showUpstreams(s, announce)
		}
		silent := ""
		showUpstreams(s, func(upstreams []upstream.Upstream) {
			upstreams[0].Announcement.Leaving = true
			upstreams[1].Announcement.Incarnation++
			silent = upstreams[2].Announcement.Name
			upstreams[2].AnnouncedAt, upstreams[2].FreshUntil = time.Now().Add(-4*time.Second), time.Now().Add(-time.Second)
		})
		restarted := s.options.Plane.View().Upstreams.Upstreams[1].Announcement.Name
		check("one leaves, one restarted, one is silent", 3, restarted, silent)
		time.Sleep(time.Second)
		showUpstreams(s, announce)
		check("the silent one is back", 2)
	})
}

// Guards against sending a plan of which an engine ended or announced that it leaves after it was
// placed, and against using an engine for it that is known to have ended.
func TestPlansWithEndedEnginesAreWithdrawn(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(s *Server, n *node)
		want error
	}{
		"ended":    {func(s *Server, n *node) { n.endedAt = time.Now(); n.suspicion.raise(time.Now()) }, errEnded},
		"replaced": {func(s *Server, n *node) { s.fleet.recordReplaced(n) }, errEnded},
		"leaves": {func(s *Server, _ *node) {
			showUpstreams(s, func(u []upstream.Upstream) { u[0].Announcement.Leaving = true })
		}, errLeaving},
		"superseded": {func(s *Server, n *node) {
			s.fleet.node(&upstream.Upstream{AnnouncedAt: time.Now(), Announcement: upstream.Announcement{Name: "next", Address: n.address}})
		}, errEnded},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, n := newServerWithNode(t)
				n.endedAt = time.Now() // it ended and was back before the call was placed
				time.Sleep(time.Second)
				lead := &node{address: "10.0.9.9:80"}
				w := &work{lead: lead, helpers: []*node{n}}
				s.fleet.begin(time.Now(), w)
				if unavailable, cause := s.fleet.unavailableNode(w); unavailable != nil {
					t.Fatalf("withdrawn without a change: %v", cause)
				}
				time.Sleep(time.Millisecond)
				c.end(s, n)
				if unavailable, cause := s.fleet.unavailableNode(w); unavailable != n || !errors.Is(cause, c.want) {
					t.Errorf("not withdrawn: %v", cause)
				}
				x := &exchange{server: s, call: &Call{}, service: &settings.ForwardedService{Name: "model", Engine: &settings.EngineProfile{}}, route: &settings.Route{}}
				if _, unusable := x.workFromAnswer(&arbiter.Answer{Lead: n.key}); !slices.Equal(unusable, []loadshare.Key{n.key}) {
					t.Error("the engine is used for a placement of the arbiter")
				}
			})
		})
	}
}

// BenchmarkEndings measures an observation, which an instance makes about once a second, and the
// arbiter's view of a fleet of 600 engines.
func BenchmarkEndings(b *testing.B) {
	registry := upstream.NewRegistry(time.Minute)
	for n := range 600 {
		registry.Apply(time.Now(), upstream.Announcement{
			Name: fmt.Sprint("engine-", n), Incarnation: 7, Sequence: 1, Address: fmt.Sprintf("10.0.%d.%d:80", n/250, n%250), Targets: []string{"model"}, Leaving: n%20 == 0,
		})
	}
	forwarding := &settings.Forwarding{Services: []settings.ForwardedService{{Name: "model", Engine: &settings.EngineProfile{}}}}
	tree, err := settings.NewForwardingTree("test", nil, forwarding)
	if err != nil {
		b.Fatal(err)
	}
	view := &control.View{Tree: tree, Upstreams: registry.Snapshot(time.Now())}
	s := New(Options{Process: &settings.Process{}, Plane: fixedPlane{view: view}, Metrics: NewMetrics(prometheus.NewRegistry())})
	b.Run("observe", func(b *testing.B) {
		for b.Loop() {
			s.fleet.observeEndings(time.Now(), view)
		}
	})
	b.Run("view", func(b *testing.B) {
		for b.Loop() {
			(&arbiterFleetSource{server: s, now: time.Now()}).Fleet("model")
		}
	})
}
