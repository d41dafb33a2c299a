package forward

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/arbiter"
	"celeryport/settings"
	"celeryport/upstream"
)

// showUpstreams replaces the upstreams in the view by changed copies of them.
func showUpstreams(s *Server, change func(upstreams []upstream.Upstream) []upstream.Upstream) {
	view := *s.options.Plane.View()
	view.Upstreams = upstream.NewSnapshot(1, time.Now(), change(slices.Clone(view.Upstreams.Upstreams)))
	s.options.Plane = fixedPlane{view: &view}
}

// Guards against an arbiter that plans as if engines never terminated, that counts an engine as
// terminated after it has answered again, and that has a new engine help at once.
func TestArbiterKnowsTerminationsAndNewEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, "front-1", "front-1")
		announce := func(upstreams []upstream.Upstream) []upstream.Upstream {
			for i := range upstreams {
				upstreams[i].Announcement.Incarnation = max(7, upstreams[i].Announcement.Incarnation)
				upstreams[i].AnnouncedAt, upstreams[i].FreshUntil = time.Now(), time.Now().Add(3*time.Second)
			}
			return upstreams
		}
		check := func(situation string, terminated, frail int) {
			t.Helper()
			s.fleet.observeEndings(time.Now(), s.options.Plane.View())
			seen := (&arbiterFleetSource{server: s, now: time.Now()}).Fleet("model")
			for _, e := range seen.Engines {
				if e.Frail {
					frail--
				}
			}
			if want := float64(terminated) / 180; math.Abs(seen.EndRate-want) > 1e-9 || frail != 0 {
				t.Errorf("%s: rate %v, want %v; %d frail engines are missing", situation, seen.EndRate, want, frail)
			}
		}
		for range 5 {
			showUpstreams(s, announce)
			check("calm", 0, 0)
			time.Sleep(time.Second)
		}
		showUpstreams(s, func(upstreams []upstream.Upstream) []upstream.Upstream {
			upstreams = announce(upstreams)
			upstreams[0].Announcement.Leaving = true
			upstreams[1].Announcement.Incarnation++
			upstreams[2].AnnouncedAt, upstreams[2].FreshUntil = time.Now().Add(-4*time.Second), time.Now().Add(-time.Second)
			return upstreams
		})
		check("one leaves, one restarted, one is silent", 3, 2)
		time.Sleep(time.Second)
		showUpstreams(s, announce)
		check("the silent one is back", 2, 0)
	})
}

// Guards against sending a plan of which an engine ended or announced that it leaves after it was
// placed, and against using an engine for it that is known to have ended.
func TestPlansWithEndedEnginesAreWithdrawn(t *testing.T) {
	for want, ends := range map[error][]func(s *Server, n *node){
		errEnded: {
			func(_ *Server, n *node) { n.endedAt = time.Now(); n.suspicion.raise(time.Now()) },
			func(s *Server, n *node) { s.fleet.recordReplaced(n) },
			func(s *Server, n *node) {
				s.fleet.node(&upstream.Upstream{AnnouncedAt: time.Now(), Announcement: upstream.Announcement{Name: "next", Address: n.address}})
			},
		},
		errLeaving: {func(s *Server, _ *node) {
			showUpstreams(s, func(u []upstream.Upstream) []upstream.Upstream { u[0].Announcement.Leaving = true; return u })
		}},
	} {
		for at, end := range ends {
			synctest.Test(t, func(t *testing.T) {
				s, n := newServerWithNode(t)
				n.endedAt = time.Now() // it ended and was back before the call was placed
				time.Sleep(time.Second)
				w := &work{lead: &node{address: "10.0.9.9:80"}, helpers: []*node{n}}
				s.fleet.begin(time.Now(), w)
				if _, cause := s.fleet.unavailableNode(w); cause != nil {
					t.Fatalf("withdrawn without a change: %v", cause)
				}
				time.Sleep(time.Millisecond)
				end(s, n)
				if unavailable, cause := s.fleet.unavailableNode(w); unavailable != n || !errors.Is(cause, want) {
					t.Errorf("%v, case %d: withdrawn with %v", want, at, cause)
				}
				x := &exchange{server: s, call: &Call{}, service: s.options.Plane.View().Tree.Forwarding.Service("model"), route: &settings.Route{}}
				if _, unusable := x.workFromAnswer(&arbiter.Answer{Lead: n.key}); len(unusable) != 1 {
					t.Errorf("%v, case %d: used for a placement of the arbiter", want, at)
				}
			})
		}
	}
}

// BenchmarkObserveEndings measures an observation, which an instance makes about once a second.
func BenchmarkObserveEndings(b *testing.B) {
	s := newTestServer(b, "front-1", "front-1")
	showUpstreams(s, func(upstreams []upstream.Upstream) []upstream.Upstream {
		for i := range 600 {
			one := upstreams[0]
			one.Announcement.Name, one.Announcement.Leaving = fmt.Sprintf("f-%03d", i), i%20 == 0
			upstreams = append(upstreams, one)
		}
		return upstreams
	})
	for b.Loop() {
		s.fleet.observeEndings(time.Now(), s.options.Plane.View())
	}
}
