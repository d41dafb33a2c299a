package drain

import "time"

// Key is what calls have in common whose durations are compared.
type Key struct {
	Route   string
	Service string
}

const (
	// window is the time of which one maximum is kept; the current window and the one before count.
	window = time.Minute
	// maxIdle is how long a key is kept without a call.
	maxIdle = 10 * time.Minute
)

// Durations holds the longest durations of recent calls by key. It is not safe for concurrent use.
type Durations struct {
	recent  map[Key]*recent
	sweepAt time.Time
}

// recent is the maxima of two windows. The last two windows with calls count until the key is removed.
type recent struct {
	began             time.Time // of the current window
	current, previous time.Duration
	last              time.Time // when a call was recorded last
}

// NewDurations returns durations without any call.
func NewDurations() *Durations { return &Durations{recent: map[Key]*recent{}} }

// Record adds a call that ended now, by how much longer than predicted it took.
func (d *Durations) Record(now time.Time, key Key, took, predicted time.Duration) {
	d.sweep(now)
	r := d.recent[key]
	if r == nil {
		r = &recent{began: now}
		d.recent[key] = r
	}
	if now.Sub(r.began) >= window {
		r.began, r.previous, r.current = now, r.current, 0
	}
	r.current, r.last = max(r.current, took-predicted), now
}

// Excess returns the longest time by which recent calls took longer than predicted. It returns false if
// there were none.
func (d *Durations) Excess(now time.Time, key Key) (time.Duration, bool) {
	r := d.recent[key]
	if r == nil || now.Sub(r.last) >= maxIdle {
		return 0, false
	}
	return max(r.current, r.previous), true
}

// sweep removes the keys that were not used for long.
func (d *Durations) sweep(now time.Time) {
	if now.Before(d.sweepAt) {
		return
	}
	d.sweepAt = now.Add(window)
	for key, r := range d.recent {
		if now.Sub(r.last) >= maxIdle {
			delete(d.recent, key)
		}
	}
}
