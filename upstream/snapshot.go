package upstream

import "time"

// State is the state of an upstream from the point of view of one instance.
type State uint8

const (
	// Fresh upstreams may receive new work.
	Fresh State = iota
	// Silent upstreams have sent no announcement within the freshness limit. They
	// receive no new work; work in flight continues.
	Silent
	// Leaving upstreams are shutting down or were superseded. They receive no new work.
	Leaving
	// Evacuated upstreams are in an availability zone that an operator has evacuated. They
	// receive no new work; work in flight continues.
	Evacuated
)

// Upstream is the state of one upstream as known to one instance.
type Upstream struct {
	Announcement Announcement
	State        State
	Evacuated    bool      // the availability zone is evacuated
	AnnouncedAt  time.Time // when an instance received the latest announcement; the relaying delay is subtracted
	FreshUntil   time.Time // end of the freshness limit; no new work after it, however old the snapshot is
	ColdUntil    time.Time // until then the upstream accepts requests at a reduced rate only; zero if it is not cold
	RestoredAt   time.Time // when the availability zone ceased to be evacuated; zero if the upstream has announced itself since
	LoadAt       time.Time // when the reported load was measured
	Prefixes     *Prefixes // known content of the prefix cache; never nil, read-only
}

// StateAt returns the state at a time after the snapshot was taken. It makes sure
// that an instance whose control goroutine hangs, and so publishes no new
// snapshots, stops sending work to an upstream that no longer announces itself.
func (u *Upstream) StateAt(now time.Time) State {
	switch {
	case u.Announcement.Leaving:
		return Leaving
	case u.Evacuated:
		return Evacuated
	case now.After(u.FreshUntil):
		return Silent
	default:
		return Fresh
	}
}

// String returns the name of the state: fresh, silent, leaving or evacuated.
func (s State) String() string {
	switch s {
	case Fresh:
		return "fresh"
	case Silent:
		return "silent"
	case Evacuated:
		return "evacuated"
	default:
		return "leaving"
	}
}

// Snapshot is an immutable view of all known upstreams. They are ordered by name,
// so that instances with the same information make the same choices.
type Snapshot struct {
	Revision  uint64
	TakenAt   time.Time
	Upstreams []Upstream
	targets   map[string][]int
}

// NewSnapshot returns a snapshot of upstreams, which must be ordered by name. The
// slice is not copied.
func NewSnapshot(revision uint64, takenAt time.Time, upstreams []Upstream) *Snapshot {
	s := &Snapshot{Revision: revision, TakenAt: takenAt, Upstreams: upstreams, targets: map[string][]int{}}
	for i := range upstreams {
		for _, target := range upstreams[i].Announcement.Targets {
			s.targets[target] = append(s.targets[target], i)
		}
	}
	return s
}

// MarkEvacuated marks the upstreams in evacuated availability zones. It must be called before
// the snapshot is shared.
func (s *Snapshot) MarkEvacuated(covers func(zone string) bool) {
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		u.Evacuated = covers(u.Announcement.AvailabilityZone)
		u.State = u.StateAt(s.TakenAt)
	}
}

// MarkRestored marks the upstreams that have not announced themselves since their availability
// zone ceased to be evacuated. It must be called before the snapshot is shared.
func (s *Snapshot) MarkRestored(restoredAt map[string]time.Time) {
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		if at, restored := restoredAt[u.Announcement.AvailabilityZone]; restored && !u.AnnouncedAt.After(at) {
			u.RestoredAt = at
		}
	}
}

// Serving returns the indices in Upstreams of the upstreams that serve the
// target, in any state. The caller must not modify the returned slice.
func (s *Snapshot) Serving(target string) []int { return s.targets[target] }
