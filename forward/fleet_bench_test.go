package forward

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"celeryport/control"
	"celeryport/settings"
	"celeryport/upstream"
)

// BenchmarkFirstNodes measures what an instance does with the upstreams of a fleet when it sees
// them for the first time.
func BenchmarkFirstNodes(b *testing.B) {
	for _, size := range []int{100, 985, 1970} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			registry := upstream.NewRegistry(time.Minute)
			for n := range size {
				registry.Apply(time.Now(), upstream.Announcement{
					Name: fmt.Sprint("engine-", n), Incarnation: 7, Sequence: 1, Address: fmt.Sprintf("10.0.%d.%d:80", n/250, n%250), Targets: []string{"m"},
				})
			}
			snapshot := registry.Snapshot(time.Now())
			options := Options{Process: &settings.Process{}, Random: rand.New(rand.NewPCG(1, 2)), Plane: fixedPlane{view: &control.View{}}}
			for b.Loop() {
				f := newFleet(&options, func(time.Time, string) float64 { return 0 })
				f.eligibleNodes(snapshot, "m")
			}
		})
	}
}

// BenchmarkAbsence measures what a call does that finds no upstream of its service: the look for
// upstreams that have restarted and are about to announce themselves.
func BenchmarkAbsence(b *testing.B) {
	const engines = 600
	options := Options{Process: &settings.Process{}, Random: rand.New(rand.NewPCG(1, 2)), Plane: fixedPlane{view: &control.View{}}}
	f := newFleet(&options, func(time.Time, string) float64 { return 0 })
	for n := range engines {
		f.node(&upstream.Upstream{Announcement: upstream.Announcement{Name: fmt.Sprint("engine-", n), Incarnation: 7, Address: fmt.Sprint(n), Targets: []string{"m"}}})
	}
	x := &exchange{server: &Server{fleet: f}, service: &settings.ForwardedService{Name: "m"}}
	for b.Loop() {
		x.absence().AwaitsAnnouncement(time.Now())
	}
}
