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

// Guards against an engine that gets nothing more because the only announcement of a dead one at its address arrives after
// its own, so that this one seems to have started there later.
func TestEngineOutlivesALateAnnouncementOfADeadOne(t *testing.T) {
	s, now := newTestServer(t, "front-1", "front-1"), time.Now()
	var version uint64
	eligible := func(runsHeard, deadHeard time.Duration) (names []string) {
		version++
		upstreams := []upstream.Upstream{
			{Announcement: upstream.Announcement{Name: "runs", Incarnation: 1, Address: "10.0.1.1:80", Targets: []string{"model"}}, AnnouncedAt: now.Add(runsHeard)},
		}
		if deadHeard >= 0 {
			dead := upstream.Announcement{Name: "dead", Incarnation: 1, Address: "10.0.1.1:80", Targets: []string{"model"}}
			upstreams = append([]upstream.Upstream{{Announcement: dead, AnnouncedAt: now.Add(deadHeard)}}, upstreams...)
		}
		s.fleet.mu.Lock()
		defer s.fleet.mu.Unlock()
		unlimited, _, _ := s.fleet.candidates(now, upstream.NewSnapshot(version, now, upstreams), "model")
		for _, n := range unlimited.nodes {
			names = append(names, n.name)
		}
		return names
	}
	for _, step := range []struct {
		runs, dead time.Duration
		want       string
	}{{0, -1, "runs"}, {0, time.Second, "dead"}, {time.Second + outlivedAfter - 1, time.Second, "dead"}, {time.Second + outlivedAfter, time.Second, "runs"}} {
		if got := eligible(step.runs, step.dead); len(got) != 1 || got[0] != step.want {
			t.Errorf("heard at %s and %s: %v are eligible, want %s", step.runs, step.dead, got, step.want)
		}
	}
}
