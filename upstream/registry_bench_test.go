package upstream

import (
	"fmt"
	"testing"
)

// BenchmarkSnapshot measures a snapshot of a fleet of the target size, 600 upstreams.
func BenchmarkSnapshot(b *testing.B) {
	r := NewRegistry(testFreshFor)
	for i := range 600 {
		r.Apply(testStart, Announcement{Name: fmt.Sprintf("engine-%d", i), Incarnation: 1, Sequence: 1, Targets: []string{"sarto"}})
	}
	for b.Loop() {
		r.Snapshot(testStart)
	}
}

// BenchmarkFirstAnnouncements measures the first announcements of a fleet of 3,000 upstreams.
func BenchmarkFirstAnnouncements(b *testing.B) {
	const upstreams = 3000
	announcements := make([]Announcement, upstreams)
	for i := range announcements {
		announcements[i] = Announcement{
			Name: fmt.Sprintf("engine-%d", i), Incarnation: 1, Sequence: 1,
			Address: fmt.Sprintf("10.%d.%d.1:80", i/250, i%250), Targets: []string{"sarto"},
		}
	}
	for b.Loop() {
		r := NewRegistry(testFreshFor)
		for i := range announcements {
			r.Apply(testStart, announcements[i])
		}
	}
}
