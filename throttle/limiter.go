package throttle

import (
	"time"

	"celeryport/loadshare"
)

// Limiter holds the request rates that upstreams name and how much of its share of them this instance has
// used. It is not safe for concurrent use.
type Limiter struct {
	table   *Table
	buckets map[loadshare.Key]*Bucket
	changes []Fact // received here and not yet sent to the other instances
}

// NewLimiter returns a limiter that knows no rates.
func NewLimiter() *Limiter {
	return &Limiter{table: NewTable(), buckets: map[loadshare.Key]*Bucket{}}
}

// Record records the rate, in requests per second, that an answer of an upstream names, nil if it names none. It
// reports whether that is a change.
func (l *Limiter) Record(now time.Time, upstream loadshare.Key, rate *float64) (changed bool) {
	if changed = l.table.RecordAnswer(now, upstream, rate); changed {
		l.changes = append(l.changes, l.table.Fact(upstream))
	}
	return changed
}

// TakeChanges returns the changes received here since the last call.
func (l *Limiter) TakeChanges() []Fact {
	changes := l.changes
	l.changes = nil
	return changes
}

// Named returns the rate that an upstream has named, and whether it has.
func (l *Limiter) Named(now time.Time, upstream loadshare.Key) (float64, bool) {
	return l.table.Rate(now, upstream)
}

// Facts returns all known rates.
func (l *Limiter) Facts(now time.Time) []Fact { return l.table.Facts(now) }

// Merge takes over the rates that another instance knows, and returns those that it lacks.
func (l *Limiter) Merge(now time.Time, facts []Fact) (missing []Fact) {
	l.table.Merge(now, facts)
	return l.table.Missing(now, facts)
}

// Open reports whether a request may be sent to an upstream now of which this instance may use a part of its
// rate, in requests per second.
func (l *Limiter) Open(now time.Time, upstream loadshare.Key, share float64) bool {
	bucket := l.buckets[upstream]
	if bucket == nil {
		bucket = NewBucket(now)
		l.buckets[upstream] = bucket
	}
	bucket.SetRate(now, share)
	return bucket.Open(now)
}

// Take counts a request to an upstream, if its rate is limited.
func (l *Limiter) Take(now time.Time, upstream loadshare.Key) {
	if bucket := l.buckets[upstream]; bucket != nil {
		bucket.Take(now)
	}
}

// Unlimited forgets what was used of an upstream's rate: it is limited no longer.
func (l *Limiter) Unlimited(upstream loadshare.Key) { delete(l.buckets, upstream) }
