package endings

import (
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
)

// History holds the recent terminations of the engines of one service. It is not safe for
// concurrent use.
type History struct {
	endings    map[loadshare.Key]ending
	sizes      []size
	observedAt time.Time
}

// ending is the termination of one incarnation of an engine.
type ending struct {
	at         time.Time // zero if it is not known when it happened
	recordedAt time.Time // when it was last recorded
	suspected  bool      // the engine was only unreachable and may still run
}

// size is the number of live engines at one time.
type size struct {
	at      time.Time
	engines int
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

// Observe records the number of live engines after all terminations that are known at this time
// have been recorded. It has to be called every few seconds.
func (h *History) Observe(now time.Time, engines int) {
	h.observedAt = now
	h.sizes = append(h.recentSizes(now), size{at: now, engines: engines})
	for key, e := range h.endings {
		if now.Sub(e.recordedAt) > retention {
			delete(h.endings, key)
		}
	}
}

// Rate returns the estimated terminations per engine-second. It is 0 while it is unknown, because
// there was no observation within the window.
func (h *History) Rate(now time.Time) float64 {
	engines := 0
	for _, s := range h.recentSizes(now) {
		engines = max(engines, s.engines) // the size before a burst of terminations
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

// recentSizes returns the sizes within the window.
func (h *History) recentSizes(now time.Time) []size {
	for at := range h.sizes {
		if now.Sub(h.sizes[at].at) < Window {
			return h.sizes[at:]
		}
	}
	return nil
}
