package upstream

import (
	"slices"
	"strings"
	"time"
)

// Relayed is an announcement that another instance heard. Age is how long ago
// it was heard when the relaying message was received, the time on the way
// included, so that relaying never makes an upstream look fresher than it is.
type Relayed struct {
	Announcement Announcement  `json:"announcement"`
	Age          time.Duration `json:"age"`
}

// Registry is an instance's knowledge of the upstreams. It is pure and not safe
// for concurrent use.
//
// Invariants, whatever order announcements arrive in: of one name the highest
// incarnation is kept, and of one incarnation the highest sequence; an
// incarnation that announced that it leaves never gets new work again.
type Registry struct {
	freshFor time.Duration
	forget   time.Duration
	version  uint64
	records  map[string]*record
	at       occupancy
}

// record is what is known of one upstream.
type record struct {
	announcement Announcement
	heardAt      time.Time
	version      uint64 // of the registry when it changed last
	cache        cacheView
}

// forgetFactor times the freshness limit is how long a silent upstream is still
// listed, so that operators see it and a late announcement finds its sequence.
const forgetFactor = 200

// NewRegistry returns an empty registry; an upstream that was not heard for
// longer than freshFor is silent.
func NewRegistry(freshFor time.Duration) *Registry {
	return &Registry{freshFor: freshFor, forget: forgetFactor * freshFor, records: map[string]*record{}, at: occupancy{}}
}

// SetFreshFor changes the freshness limit.
func (r *Registry) SetFreshFor(freshFor time.Duration) {
	r.freshFor = freshFor
	r.forget = forgetFactor * freshFor
}

// Hear takes an announcement that the upstream made to this instance and
// reports whether it was news.
func (r *Registry) Hear(now time.Time, a Announcement) bool {
	if known := r.records[a.Name]; known == nil || a.Incarnation > known.announcement.Incarnation {
		r.supersede(now, a)
	}
	return r.HearRelayed(now, Relayed{Announcement: a})
}

// successorGap is how long an upstream must have been silent before another name
// at its address counts as its successor: above the usual interval of
// announcements, so that a message that a dead upstream sent long ago, and that
// arrives only now, never pushes out the one that lives there.
const successorGap = 1500 * time.Millisecond

// supersede takes silent upstreams at the address of a new one out of service.
// Their own late announcements can't bring them back. Only the instance that
// hears the new one itself decides this, since relayed news comes in any order.
func (r *Registry) supersede(now time.Time, a Announcement) {
	for _, rec := range r.at[a.Address] {
		old := &rec.announcement
		if old.Name == a.Name || old.Leaving || now.Sub(rec.heardAt) < successorGap {
			continue
		}
		old.Leaving = true
		rec.version = r.nextVersion()
	}
}

// HearRelayed takes an announcement that another instance heard and reports
// whether it was news.
func (r *Registry) HearRelayed(now time.Time, relayed Relayed) bool {
	a := relayed.Announcement
	heardAt := now.Add(-max(0, relayed.Age))
	known := r.records[a.Name]
	if known == nil || a.Incarnation > known.announcement.Incarnation {
		r.at.remove(known)
		r.records[a.Name] = r.newRecord(a, heardAt)
		r.at.add(r.records[a.Name])
		return true
	}
	if a.Incarnation < known.announcement.Incarnation {
		return false
	}
	return r.renew(known, a, heardAt)
}

func (r *Registry) newRecord(a Announcement, heardAt time.Time) *record {
	rec := &record{heardAt: heardAt, version: r.nextVersion()}
	rec.cache.apply(a.CacheEvents)
	rec.announcement = withoutEvents(a)
	return rec
}

// renew takes a further announcement of a known incarnation. The same sequence
// heard by two ways may still prove that the upstream lived later than known.
func (r *Registry) renew(rec *record, a Announcement, heardAt time.Time) bool {
	if a.Sequence <= rec.announcement.Sequence {
		if a.Sequence == rec.announcement.Sequence {
			rec.heardAt = later(rec.heardAt, heardAt)
		}
		return r.keepLeaving(rec, a)
	}
	// A sequence can only grow, so a leaving upstream stays leaving even if a
	// faulty one takes it back: callers were told that nothing new comes.
	a.Leaving = a.Leaving || rec.announcement.Leaving
	rec.cache.apply(a.CacheEvents)
	r.at.remove(rec)
	rec.announcement = withoutEvents(a)
	r.at.add(rec)
	rec.heardAt = later(rec.heardAt, heardAt)
	rec.version = r.nextVersion()
	return true
}

// keepLeaving notes that an upstream leaves, whatever the sequence of its word: an instance
// that takes it out of service on that word numbers it by what it has heard itself, and
// another one may have heard more.
func (r *Registry) keepLeaving(rec *record, a Announcement) bool {
	if !a.Leaving || rec.announcement.Leaving {
		return false
	}
	rec.announcement.Leaving = true
	rec.version = r.nextVersion()
	return true
}

func (r *Registry) nextVersion() uint64 {
	r.version++
	return r.version
}

// Find returns the newest announcement of an upstream.
func (r *Registry) Find(name string) (Announcement, bool) {
	rec, found := r.records[name]
	if !found {
		return Announcement{}, false
	}
	return rec.announcement, true
}

// Size returns how many upstreams are known, those that are silent or leaving included.
func (r *Registry) Size() int { return len(r.records) }

// Expire forgets upstreams that were silent for very long.
func (r *Registry) Expire(now time.Time) {
	for name, rec := range r.records {
		if now.Sub(rec.heardAt) > r.forget {
			delete(r.records, name)
			r.at.remove(rec)
			r.nextVersion()
		}
	}
}

// Version grows with every change of content.
func (r *Registry) Version() uint64 { return r.version }

// ChangesSince returns the announcements that changed after the version, to be
// relayed, and the version to ask from next time. Cache events are left out:
// they only steer preference, and each instance hears those of its own
// upstreams.
func (r *Registry) ChangesSince(now time.Time, version uint64) ([]Relayed, uint64) {
	var changed []*record
	for _, rec := range r.records {
		if rec.version > version {
			changed = append(changed, rec)
		}
	}
	sortByName(changed)
	changes := make([]Relayed, len(changed))
	for i, rec := range changed {
		changes[i] = Relayed{Announcement: rec.announcement, Age: now.Sub(rec.heardAt)}
	}
	return changes, r.version
}

func sortByName(records []*record) {
	slices.SortFunc(records, func(a, b *record) int { return strings.Compare(a.announcement.Name, b.announcement.Name) })
}

// Snapshot returns the present view, ordered by name.
func (r *Registry) Snapshot(now time.Time) *Snapshot {
	ordered := make([]*record, 0, len(r.records))
	for _, rec := range r.records {
		ordered = append(ordered, rec)
	}
	sortByName(ordered)
	upstreams := make([]Upstream, len(ordered))
	for i, rec := range ordered {
		upstreams[i] = rec.view(now, r.freshFor)
	}
	return NewSnapshot(r.version, now, upstreams)
}

func (rec *record) view(now time.Time, freshFor time.Duration) Upstream {
	u := Upstream{
		Announcement: rec.announcement,
		HeardAt:      rec.heardAt,
		FreshUntil:   rec.heardAt.Add(freshFor),
		LoadAt:       rec.heardAt.Add(-rec.announcement.Load.Age),
		Prefixes:     rec.cache.view(),
	}
	u.State = u.StateAt(now)
	return u
}

func withoutEvents(a Announcement) Announcement {
	a.CacheEvents = nil
	return a
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
