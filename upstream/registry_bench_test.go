package upstream

import (
	"fmt"
	"testing"
)

// BenchmarkSnapshot measures a view of a fleet of the target size.
func BenchmarkSnapshot(b *testing.B) {
	r := NewRegistry(testFreshFor)
	for i := range 600 {
		r.Hear(testStart, Announcement{Name: fmt.Sprintf("engine-%d", i), Incarnation: 1, Sequence: 1, Targets: []string{"sarto"}})
	}
	for b.Loop() {
		r.Snapshot(testStart)
	}
}
