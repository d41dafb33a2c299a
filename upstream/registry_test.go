package upstream

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testFreshFor = 3 * time.Second

var testStart = time.Unix(1_700_000_000, 0)

func stateOf(t *testing.T, r *Registry, now time.Time, name string) State {
	t.Helper()
	for _, u := range r.Snapshot(now).Upstreams {
		if u.Announcement.Name == name {
			return u.State
		}
	}
	t.Fatalf("upstream %q is not listed", name)
	return Fresh
}

func TestRegistryFollowsAnUpstream(t *testing.T) {
	// An upstream's messages arrive out of order, it restarts at the same address,
	// or it stops announcing. If the registry treated an old message as a new one,
	// requests would be sent to an upstream that has left or crashed.
	type step struct {
		after    time.Duration
		announce Announcement
		age      time.Duration
		want     State
		sequence uint64
	}
	announced := func(incarnation, sequence uint64, leaving bool) Announcement {
		return Announcement{Name: "e1", Incarnation: incarnation, Sequence: sequence, Leaving: leaving}
	}
	tests := map[string][]step{
		"an older sequence does not revoke leaving": {
			{0, announced(1, 1, false), 0, Fresh, 1},
			{time.Second, announced(1, 3, true), 0, Leaving, 3},
			{0, announced(1, 2, false), 0, Leaving, 3},
		},
		"a newer sequence does not revoke leaving": {
			{0, announced(1, 1, true), 0, Leaving, 1},
			{0, announced(1, 2, false), 0, Leaving, 2},
		},
		"a restart under the same name replaces the earlier incarnation": {
			{0, announced(1, 9, true), 0, Leaving, 9},
			{0, announced(2, 1, false), 0, Fresh, 1},
			{0, announced(1, 10, true), 0, Fresh, 1},
		},
		"a relayed announcement keeps its age": {
			{0, announced(1, 1, false), testFreshFor + time.Second, Silent, 1},
			{0, announced(1, 2, false), time.Second, Fresh, 2},
		},
		"an old copy does not extend freshness": {
			{0, announced(1, 2, false), 0, Fresh, 2},
			{testFreshFor + time.Second, announced(1, 1, false), 0, Silent, 2},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			r := NewRegistry(testFreshFor)
			now := testStart
			for i, s := range steps {
				now = now.Add(s.after)
				r.ApplyRelayed(now, Relayed{Announcement: s.announce, Age: s.age})
				if got := stateOf(t, r, now, "e1"); got != s.want {
					t.Fatalf("step %d: state %v, want %v", i, got, s.want)
				}
				if got := r.Snapshot(now).Upstreams[0].Announcement.Sequence; got != s.sequence {
					t.Fatalf("step %d: sequence %d, want %d", i, got, s.sequence)
				}
			}
		})
	}
}

func TestSnapshotBecomesStaleWithoutUpdates(t *testing.T) {
	// The control goroutine of an instance hangs, so that no newer snapshot is
	// published. Without a time limit in the snapshot itself, requests would still
	// be sent to an upstream that terminated long ago, and fail.
	r := NewRegistry(testFreshFor)
	r.Apply(testStart, Announcement{Name: "e1", Incarnation: 1, Sequence: 1})
	u := r.Snapshot(testStart).Upstreams[0]
	if u.StateAt(testStart.Add(testFreshFor)) != Fresh {
		t.Error("silent before the freshness limit")
	}
	if u.StateAt(testStart.Add(testFreshFor+1)) != Silent {
		t.Error("fresh after the freshness limit")
	}
}

func TestRegistriesAgreeWhateverTheOrder(t *testing.T) {
	// Announcements reach two instances by different paths, duplicated and in
	// different orders. If the order mattered, one instance would keep using an
	// upstream that the other one knows to have left.
	rapid.Check(t, func(t *rapid.T) {
		sent := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Announcement {
			return Announcement{
				Name:        "e1",
				Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
				Sequence:    rapid.Uint64Range(1, 5).Draw(t, "sequence"),
			}
		}), 1, 12).Draw(t, "announcements")
		for i := range sent {
			sent[i].Leaving = sent[i].Sequence >= 4
		}
		first, second := NewRegistry(testFreshFor), NewRegistry(testFreshFor)
		for _, a := range sent {
			first.Apply(testStart, a)
		}
		for _, a := range rapid.Permutation(sent).Draw(t, "permutation") {
			second.Apply(testStart, a)
			second.Apply(testStart, a)
		}
		a, b := first.Snapshot(testStart).Upstreams[0], second.Snapshot(testStart).Upstreams[0]
		if a.Announcement.Incarnation != b.Announcement.Incarnation ||
			a.Announcement.Sequence != b.Announcement.Sequence || a.State != b.State {
			t.Fatalf("orders differ: %+v and %+v", a, b)
		}
	})
}

func TestCacheViewIsBounded(t *testing.T) {
	// A faulty engine reports new prefixes without end. Without a limit the memory
	// of each instance would grow until the process is killed together with all its
	// requests in flight.
	r := NewRegistry(testFreshFor)
	for i := uint64(1); i <= 3*maxPrefixes; i++ {
		r.Apply(testStart, Announcement{
			Name: "e1", Incarnation: 1, Sequence: i,
			CacheEvents: []CacheEvent{{Sequence: i, PrefixHash: i, Tokens: 10}},
		})
	}
	prefixes := r.Snapshot(testStart).Upstreams[0].Prefixes
	if len(prefixes.tokens) != maxPrefixes {
		t.Fatalf("%d prefixes kept, want %d", len(prefixes.tokens), maxPrefixes)
	}
	if prefixes.Tokens(3*maxPrefixes) != 10 {
		t.Error("the newest prefix is missing")
	}
}

func TestChangesSinceReturnsOnlyLaterChanges(t *testing.T) {
	r := NewRegistry(testFreshFor)
	r.Apply(testStart, Announcement{Name: "e1", Incarnation: 1, Sequence: 1})
	_, seen := r.ChangesSince(testStart, 0)
	r.Apply(testStart, Announcement{Name: "e2", Incarnation: 1, Sequence: 1})
	changes, _ := r.ChangesSince(testStart.Add(time.Second), seen)
	if len(changes) != 1 || changes[0].Announcement.Name != "e2" || changes[0].Age != time.Second {
		t.Fatalf("changes: %+v", changes)
	}
}

// Guards against new work for a leaving upstream when its leave announcement has a sequence that
// is not higher than that of an announcement received earlier from another instance.
func TestLeavingHoldsWhateverItsSequence(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	for name, known := range map[string]uint64{"earlier": 10, "same": 11, "later": 12} {
		r := NewRegistry(time.Minute)
		r.Apply(start, Announcement{Name: "e1", Incarnation: 1, Sequence: known})
		_, version := r.ChangesSince(start, 0)
		changed := r.ApplyRelayed(start, Relayed{Announcement: Announcement{Name: "e1", Incarnation: 1, Sequence: 11, Leaving: true}})
		found, _ := r.Find("e1")
		if changes, _ := r.ChangesSince(start, version); !changed || !found.Leaving || len(changes) != 1 {
			t.Errorf("%s announcement known: changed %t, leaving %t, %d changes for others", name, changed, found.Leaving, len(changes))
		}
		if found.Sequence != max(known, 11) {
			t.Errorf("%s announcement known: sequence %d", name, found.Sequence)
		}
	}
}

// Guards against an end of an upstream's cold time that moves with each relayed load, and against
// one that is lost when the announcement passes through several instances.
func TestColdTimeIsRelayedWithItsEnd(t *testing.T) {
	first, second := NewRegistry(testFreshFor), NewRegistry(testFreshFor)
	first.Apply(testStart, Announcement{Name: "e", Incarnation: 1, Sequence: 1, ColdFor: 3 * time.Second})
	later := testStart.Add(time.Second)
	load := Relayed{Announcement: Announcement{Name: "e", Incarnation: 1, Sequence: 2}, LoadOnly: true}
	first.ApplyRelayed(later, load)
	changes, _ := first.ChangesSince(later.Add(time.Second), 0)
	for _, c := range changes {
		second.ApplyRelayed(later.Add(time.Second), c)
	}
	for name, r := range map[string]*Registry{"first": first, "second": second} {
		if got, want := r.Snapshot(later).Upstreams[0].ColdUntil, testStart.Add(3*time.Second); !got.Equal(want) {
			t.Errorf("%s: cold until %s, want %s", name, got, want)
		}
	}
	first.Apply(later, Announcement{Name: "e", Incarnation: 1, Sequence: 3})
	if got := first.Snapshot(later).Upstreams[0].ColdUntil; !got.IsZero() {
		t.Errorf("still cold until %s after it said that it is warm", got)
	}
}
