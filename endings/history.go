package endings

import (
	"slices"
	"time"

	"celeryport/loadshare"
)

const (
	// Window is the time over which terminations are counted. Terminations come in bursts of some
	// seconds, and a longer window would keep prompts on few engines after a burst has ended.
	Window = 10 * time.Second
	// maxGap is the longest time between two observations after which a termination still counts
	// as recent. An instance that could observe nothing for longer learns of all terminations of
	// that time at once and does not know when they happened.
	maxGap = 3 * time.Second
	// retention is how long a termination is remembered after it was last recorded, so that an
	// engine that stays listed after its termination counts once.
	retention = time.Minute
	// maxDelay bounds the delay of announcements. They all become older while the control group is
	// partitioned, and engines that are older than that by more count as silent.
	maxDelay = announcementInterval
)

// History holds the recent terminations of the engines of one service. It is not safe for
// concurrent use.
type History struct {
	endings      map[loadshare.Key]ending
	observations []observation
	observedAt   time.Time
}

// ending is the termination of one incarnation of an engine.
type ending struct {
	at         time.Time // zero if it is not known when it happened
	recordedAt time.Time // when it was last recorded
	suspected  bool      // the engine was only unreachable and may still run
}

// observation is what was known of the live engines at one time.
type observation struct {
	at      time.Time
	engines int
	age     time.Duration // median age of their announcements
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{endings: map[loadshare.Key]ending{}} }

// Record records that an incarnation of an engine has terminated or has announced that it will.
// Each incarnation counts once, at the time of its first record.
func (h *History) Record(now time.Time, key loadshare.Key) { h.record(now, key, false) }

// Suspect records that an incarnation of an engine has probably terminated, because it is silent
// or can't be reached. Clear withdraws the record.
func (h *History) Suspect(now time.Time, key loadshare.Key) { h.record(now, key, true) }

func (h *History) record(now time.Time, key loadshare.Key, suspected bool) {
	e, known := h.endings[key]
	if !known {
		e.suspected = true
		if now.Sub(h.observedAt) <= maxGap {
			e.at = now
		}
	}
	e.recordedAt, e.suspected = now, e.suspected && suspected
	h.endings[key] = e
}

// Clear withdraws the suspicion that an incarnation of an engine has terminated, because it has
// answered since. A certain termination stays recorded.
func (h *History) Clear(key loadshare.Key) {
	if h.endings[key].suspected {
		delete(h.endings, key)
	}
}

// Observe records the ages of the announcements of all live engines, after all terminations that
// are known at this time have been recorded. It has to be called every few seconds and sorts the
// ages.
func (h *History) Observe(now time.Time, ages []time.Duration) {
	o := observation{at: now, engines: len(ages)}
	if len(ages) > 0 {
		slices.Sort(ages)
		o.age = ages[len(ages)/2]
	}
	h.observedAt = now
	h.observations = append(h.recent(now), o)
	for key, e := range h.endings {
		if now.Sub(e.recordedAt) > retention {
			delete(h.endings, key)
		}
	}
}

// Delay returns how long announcements usually take to reach this instance. Most are relayed by
// other instances. Without the delay the median age would be half an interval.
func (h *History) Delay(now time.Time) time.Duration {
	age := time.Duration(0)
	for _, o := range h.recent(now) {
		age = max(age, o.age)
	}
	return min(maxDelay, max(0, age-announcementInterval/2))
}

// Rate returns the estimated terminations per engine-second. It is 0 while it is unknown, because
// there was no observation within the window.
func (h *History) Rate(now time.Time) float64 {
	engines := 0
	for _, o := range h.recent(now) {
		engines = max(engines, o.engines) // before a burst of terminations
	}
	if engines == 0 {
		return 0
	}
	recent := 0
	for _, e := range h.endings {
		if now.Sub(e.at) < Window {
			recent++
		}
	}
	return float64(recent) / (float64(engines) * Window.Seconds())
}

// recent returns the observations within the window.
func (h *History) recent(now time.Time) []observation {
	for at := range h.observations {
		if now.Sub(h.observations[at].at) < Window {
			return h.observations[at:]
		}
	}
	return nil
}
