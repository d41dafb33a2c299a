package upstream

import (
	"slices"
	"strings"
	"time"
)

// Relayed is an announcement forwarded by another instance. Age is the time
// between the receipt of the announcement by that instance and the receipt of the
// relaying message, transit time included, so that relaying never makes an
// upstream appear fresher than it is.
type Relayed struct {
	Announcement Announcement  `json:"announcement"`
	Age          time.Duration `json:"age"`
	LoadOnly     bool          `json:"-"` // states no ColdFor; the last stated end of the cold time remains
}

// Registry holds the upstreams known to an instance. It performs no I/O and is
// not safe for concurrent use.
//
// Invariants, independent of the order in which announcements arrive: for each
// name the highest incarnation is kept, and for each incarnation the highest
// sequence; an incarnation that announced that it is leaving never receives new
// work again.
type Registry struct {
	freshFor  time.Duration
	retention time.Duration
	version   uint64
	records   map[string]*record
	byAddress addressIndex
	departed  map[string]uint64 // highest incarnation that has left for good, by name
}

// record is the registry entry of one upstream.
type record struct {
	announcement Announcement
	receivedAt   time.Time
	firstAt      time.Time // when the incarnation became known
	coldUntil    time.Time // end of the cold time that was stated last, zero if none
	version      uint64    // version of the registry at the last change of the record
	cache        cacheView
}

// retentionFactor times the freshness limit is the time for which a silent upstream
// stays in the registry, so that operators can see it and a late announcement is
// compared with its last sequence.
const retentionFactor = 200

// NewRegistry returns an empty registry. An upstream counts as silent when its
// last announcement is older than freshFor.
func NewRegistry(freshFor time.Duration) *Registry {
	return &Registry{freshFor: freshFor, retention: retentionFactor * freshFor, records: map[string]*record{}, byAddress: addressIndex{}}
}

// SetFreshFor changes the freshness limit.
func (r *Registry) SetFreshFor(freshFor time.Duration) {
	r.freshFor = freshFor
	r.retention = retentionFactor * freshFor
}

// Apply applies an announcement that the upstream sent to this instance and
// reports whether it changed the registry.
func (r *Registry) Apply(now time.Time, a Announcement) bool {
	changed := r.ApplyRelayed(now, Relayed{Announcement: a})
	if rec := r.records[a.Name]; changed && rec.announcement.Sequence == a.Sequence {
		r.supersede(now, rec)
	}
	return changed
}

// supersedeAfter is the minimum time without announcements after which an upstream
// counts as replaced by another name at its address. It is longer than the usual
// announcement interval, so that a delayed message of a terminated upstream never
// displaces the one that now runs at the address.
const supersedeAfter = 1500 * time.Millisecond

// supersede marks the upstreams at the address of another one as leaving that have announced
// nothing since the other one did so first, once that has gone on for supersedeAfter. A single
// announcement does not do: it may be a delayed one of an upstream that has terminated, and was
// not known here. Late announcements of the upstreams that were superseded can't revert this.
// Only the instance that receives the announcement from the upstream itself decides this, because
// relayed announcements arrive in any order.
func (r *Registry) supersede(now time.Time, by *record) {
	if by.announcement.Leaving || now.Sub(by.firstAt) < supersedeAfter {
		return
	}
	for _, rec := range r.byAddress[by.announcement.Address] {
		old := &rec.announcement
		if rec == by || old.Leaving || !rec.receivedAt.Before(by.firstAt) {
			continue
		}
		old.Leaving = true
		rec.version = r.nextVersion()
	}
}

// ApplyRelayed applies an announcement that another instance received and reports
// whether it changed the registry.
func (r *Registry) ApplyRelayed(now time.Time, relayed Relayed) bool {
	a := relayed.Announcement
	a.Leaving = a.Leaving || r.HasDeparted(a.Name, a.Incarnation)
	receivedAt := now.Add(-max(0, relayed.Age))
	known := r.records[a.Name]
	if known == nil || a.Incarnation > known.announcement.Incarnation {
		r.byAddress.remove(known)
		r.records[a.Name] = r.newRecord(a, receivedAt)
		r.byAddress.add(r.records[a.Name])
		return true
	}
	if a.Incarnation < known.announcement.Incarnation {
		return false
	}
	updated := r.update(known, a, receivedAt)
	if updated && !relayed.LoadOnly {
		known.coldUntil = coldEnd(receivedAt, a)
	}
	return updated
}

func (r *Registry) newRecord(a Announcement, receivedAt time.Time) *record {
	rec := &record{receivedAt: receivedAt, firstAt: receivedAt, coldUntil: coldEnd(receivedAt, a), version: r.nextVersion()}
	rec.cache.apply(a.CacheEvents)
	rec.announcement = withoutEvents(a)
	return rec
}

// update applies a further announcement of a known incarnation. A copy of the
// current sequence that arrives by another path may still show that the upstream
// was alive at a later time than recorded.
func (r *Registry) update(rec *record, a Announcement, receivedAt time.Time) bool {
	if a.Sequence <= rec.announcement.Sequence {
		if a.Sequence == rec.announcement.Sequence {
			rec.receivedAt = later(rec.receivedAt, receivedAt)
		}
		return r.markLeaving(rec, a)
	}
	// Leaving is final, even if a faulty upstream revokes it under a higher
	// sequence: other components rely on a leaving upstream getting no new work.
	a.Leaving = a.Leaving || rec.announcement.Leaving
	rec.cache.apply(a.CacheEvents)
	r.byAddress.remove(rec)
	rec.announcement = withoutEvents(a)
	r.byAddress.add(rec)
	rec.receivedAt = later(rec.receivedAt, receivedAt)
	rec.version = r.nextVersion()
	return true
}

// markLeaving records that an upstream is leaving, whatever the sequence of the announcement. An
// instance that takes an upstream out of service on its request derives the sequence from the
// announcements it has received itself, and another instance may have received later ones.
func (r *Registry) markLeaving(rec *record, a Announcement) bool {
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

// Find returns the latest announcement of an upstream.
func (r *Registry) Find(name string) (Announcement, bool) {
	rec, found := r.records[name]
	if !found {
		return Announcement{}, false
	}
	return rec.announcement, true
}

// Each calls a function for every known upstream, including silent and leaving ones, in no
// particular order. The function must not keep or change the announcement.
func (r *Registry) Each(visit func(a *Announcement)) {
	for _, rec := range r.records {
		visit(&rec.announcement)
	}
}

// Size returns the number of known upstreams, including silent and leaving ones.
func (r *Registry) Size() int { return len(r.records) }

// Expire removes the upstreams whose last announcement is older than the retention time.
func (r *Registry) Expire(now time.Time) {
	for name, rec := range r.records {
		if now.Sub(rec.receivedAt) > r.retention {
			delete(r.records, name)
			r.byAddress.remove(rec)
			r.nextVersion()
		}
	}
}

// Version returns a number that increases with every change of the content.
func (r *Registry) Version() uint64 { return r.version }

// ChangesSince returns the announcements that changed after the given version, for
// relaying, and the version to pass to the next call. Cache events are omitted:
// they only influence preferences, and each instance receives those of the
// upstreams that announce to it.
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
		changes[i] = rec.relayed(now)
	}
	return changes, r.version
}

// coldEnd returns the end of the cold time that an announcement states, zero if it states none.
func coldEnd(receivedAt time.Time, a Announcement) time.Time {
	if a.ColdFor <= 0 {
		return time.Time{}
	}
	return receivedAt.Add(a.ColdFor)
}

// relayed returns the announcement for relaying, with the cold time that is left of it.
func (rec *record) relayed(now time.Time) Relayed {
	a := rec.announcement
	a.ColdFor = max(0, rec.coldUntil.Sub(rec.receivedAt))
	return Relayed{Announcement: a, Age: now.Sub(rec.receivedAt)}
}

func sortByName(records []*record) {
	slices.SortFunc(records, func(a, b *record) int { return strings.Compare(a.announcement.Name, b.announcement.Name) })
}

// Snapshot returns the current state of all upstreams, ordered by name.
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
		AnnouncedAt:  rec.receivedAt,
		FreshUntil:   rec.receivedAt.Add(freshFor),
		ColdUntil:    rec.coldUntil,
		LoadAt:       rec.receivedAt.Add(-rec.announcement.Load.Age),
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
