package upstream

import "time"

// State is the freshness of an upstream as one instance sees it.
type State uint8

const (
	// Fresh upstreams may get new work.
	Fresh State = iota
	// Silent upstreams were not heard for longer than the freshness limit. They
	// get no new work; work in flight goes on.
	Silent
	// Leaving upstreams announced that they leave. They get no new work.
	Leaving
)

// Upstream is the view that one instance has of one upstream.
type Upstream struct {
	Announcement Announcement
	State        State
	HeardAt      time.Time // when its newest announcement reached an instance, corrected for relaying
	FreshUntil   time.Time // it gets no new work after this, even if the snapshot grows old
	LoadAt       time.Time // when its load was measured
	Prefixes     *Prefixes // known content of its prefix cache, never nil, read-only
}

// StateAt returns the state at a later time than that of the snapshot: an
// instance whose control goroutine hangs must not go on to send work to an
// upstream that it no longer hears.
func (u *Upstream) StateAt(now time.Time) State {
	switch {
	case u.Announcement.Leaving:
		return Leaving
	case now.After(u.FreshUntil):
		return Silent
	default:
		return Fresh
	}
}

// String returns the wire form.
func (s State) String() string {
	switch s {
	case Fresh:
		return "fresh"
	case Silent:
		return "silent"
	default:
		return "leaving"
	}
}

// Snapshot is an immutable view of all known upstreams, ordered by name, so
// that every instance with equal knowledge computes equal choices.
type Snapshot struct {
	Revision  uint64
	TakenAt   time.Time
	Upstreams []Upstream
	targets   map[string][]int
}

// NewSnapshot builds a snapshot; upstreams must be ordered by name and is not
// copied.
func NewSnapshot(revision uint64, takenAt time.Time, upstreams []Upstream) *Snapshot {
	s := &Snapshot{Revision: revision, TakenAt: takenAt, Upstreams: upstreams, targets: map[string][]int{}}
	for i := range upstreams {
		for _, target := range upstreams[i].Announcement.Targets {
			s.targets[target] = append(s.targets[target], i)
		}
	}
	return s
}

// Serving returns the positions in Upstreams of those that serve the target,
// whatever their state. The caller must not change the slice.
func (s *Snapshot) Serving(target string) []int { return s.targets[target] }
