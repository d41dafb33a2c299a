package upstream

import (
	"testing"
	"time"
)

// Guards against an upstream that has left and comes back by a delayed announcement, known or not, and against a new
// upstream that is not used because it has the address, or an older incarnation of it the name, of one that has left.
func TestDepartedUpstreamNeverComesBack(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	announce := func(name string, incarnation, sequence uint64, address string) Announcement {
		return Announcement{Name: name, Incarnation: incarnation, Sequence: sequence, Address: address, Targets: []string{"m"}}
	}
	r := NewRegistry(3 * time.Second)
	r.Apply(now, announce("known", 2, 5, "10.0.0.1:1"))
	r.Apply(now, announce("successor", 1, 1, "10.0.0.2:1"))
	version := r.Version()
	ended := r.SetDeparted(map[string]uint64{"known": 2, "unknown": 3})
	if len(ended) != 1 || ended[0] != "known" || r.Version() == version {
		t.Errorf("%v ended, version %d after %d", ended, r.Version(), version)
	}
	if again := r.SetDeparted(map[string]uint64{"known": 2, "unknown": 3}); len(again) != 0 {
		t.Errorf("%v ended again", again)
	}
	later := now.Add(5 * time.Second)
	r.Apply(later, announce("known", 2, 9, "10.0.0.1:1"))
	r.Apply(later, announce("unknown", 3, 9, "10.0.0.2:1"))
	r.ApplyRelayed(later, Relayed{Announcement: announce("known", 2, 10, "10.0.0.1:1")})
	r.Apply(later, announce("new", 1, 1, "10.0.0.1:1"))
	want := map[string]bool{"known": true, "unknown": true, "successor": false, "new": false}
	for name, leaving := range want {
		if a, found := r.Find(name); !found || a.Leaving != leaving {
			t.Errorf("%s: found %t, leaving %t", name, found, a.Leaving)
		}
	}
	r.Apply(later, announce("known", 3, 1, "10.0.0.1:1"))
	if a, _ := r.Find("known"); a.Leaving {
		t.Error("a later incarnation is not used")
	}
	if ended := r.SetDeparted(nil); len(ended) != 0 {
		t.Errorf("%v ended", ended)
	}
	r.Apply(later, announce("unknown", 3, 11, "10.0.0.2:1"))
	if a, _ := r.Find("unknown"); !a.Leaving {
		t.Error("a dropped departure brings back an upstream that is still known as leaving")
	}
}
