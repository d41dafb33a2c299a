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

// Maxima are the maxima of recent calls.
type Maxima struct {
	Took      time.Duration // from the send to the end of the answer
	Predicted time.Duration // of this time
	Excess    time.Duration // by which it was longer than predicted
}

func (m Maxima) join(o Maxima) Maxima {
	return Maxima{Took: max(m.Took, o.Took), Predicted: max(m.Predicted, o.Predicted), Excess: max(m.Excess, o.Excess)}
}

// expect returns how long a call with a prediction is expected to take at most. Calls that are not predicted to
// take longer than the recent ones take no longer than these.
func (m Maxima) expect(predicted time.Duration) time.Duration {
	expected := predicted + m.Excess
	if predicted <= m.Predicted {
		expected = min(expected, m.Took)
	}
	return expected
}

// Durations holds the longest durations of recent calls by key. It is not safe for concurrent use.
type Durations struct {
	recent  map[Key]*recent
	sweepAt time.Time
}

// recent is the maxima of two windows. The last two windows with calls count until the key is removed.
type recent struct {
	began             time.Time // of the current window
	current, previous Maxima
	last              time.Time // when a call was recorded last
}

// NewDurations returns durations without any call.
func NewDurations() *Durations { return &Durations{recent: map[Key]*recent{}} }

// Record adds a call that ended now, by how long it took and was predicted to take; 0: no prediction.
func (d *Durations) Record(now time.Time, key Key, took, predicted time.Duration) {
	d.sweep(now)
	r := d.recent[key]
	if r == nil {
		r = &recent{began: now}
		d.recent[key] = r
	}
	if now.Sub(r.began) >= window {
		r.began, r.previous, r.current = now, r.current, Maxima{}
	}
	r.current, r.last = r.current.join(Maxima{Took: took, Predicted: predicted, Excess: took - predicted}), now
}

// Recent returns the maxima of the recent calls. It returns false if there were none.
func (d *Durations) Recent(now time.Time, key Key) (Maxima, bool) {
	r := d.recent[key]
	if r == nil || now.Sub(r.last) >= maxIdle {
		return Maxima{}, false
	}
	return r.current.join(r.previous), true
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
