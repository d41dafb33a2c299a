package forward

import (
	"testing"
	"time"

	"celeryport/upstream"
)

// Guards against prompts that are rejected because a dead engine and the one started later at
// the same address are both asked to read a part.
func TestOnlyLatestEngineAtAnAddressIsEligible(t *testing.T) {
	s := newTestServer(t, "front-1", "front-1")
	announced := func(name, address string, ago time.Duration) upstream.Upstream {
		return upstream.Upstream{
			Announcement: upstream.Announcement{Name: name, Incarnation: 1, Address: address, Targets: []string{"model"}},
			AnnouncedAt:  time.Now().Add(-ago),
		}
	}
	snapshot := upstream.NewSnapshot(1, time.Now(), []upstream.Upstream{
		announced("another", "10.0.1.2:80", time.Second),
		announced("dead", "10.0.1.1:80", 3*time.Second),
		announced("started-anew", "10.0.1.1:80", time.Second),
		announced("then-gone", "10.0.1.3:80", time.Second),
	})
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	unlimited, _, _ := s.fleet.candidates(time.Now(), snapshot, "model")
	nodes := unlimited.nodes
	names := map[string]bool{}
	for _, n := range nodes {
		names[n.name] = true
	}
	if len(nodes) != 3 || names["dead"] {
		t.Errorf("eligible engines: %v, want three without the dead one", names)
	}
	later := upstream.NewSnapshot(2, time.Now(), []upstream.Upstream{
		announced("started-at-last", "10.0.1.3:80", 0), announced("then-gone", "10.0.1.3:80", 0),
	})
	if unlimited, _, _ := s.fleet.candidates(time.Now(), later, "model"); len(unlimited.nodes) != 1 || unlimited.nodes[0].name != "started-at-last" {
		t.Errorf("a late announcement makes the replaced engine eligible again: %d engines at one address", len(nodes))
	}
}
