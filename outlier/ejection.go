package outlier

import "time"

const (
	// firstEjection is how long an upstream gets no calls first. The time doubles with each probe that fails.
	firstEjection = 2 * time.Second
	maxEjection   = 8 * time.Second
	maxDoublings  = 2
	// anyProbeAfter is how long only calls that may be sent again are used as probes.
	anyProbeAfter = 5 * time.Second
	// probeExpiry is how long an upstream waits for a probe. One that no call needs gets calls as usual then.
	probeExpiry = 15 * time.Second
	// provenAfter is how long a record is kept after an ejection.
	provenAfter = 30 * time.Second
)

// ejection is the state of an upstream that gets no calls because it fails them. After some time one call
// after the other probes it, until one succeeds. The zero value is an upstream that gets calls as usual.
type ejection struct {
	until   time.Time
	began   time.Time
	applies bool // until a probe succeeds
	probe   bool // a probe is in flight
	count   int  // ejections in succession, all but the first because a probe failed
	prober  bool // this instance probes the upstream after this ejection
	serial  int  // ejections so far
}

// begin starts an ejection and returns how long it lasts. probed means that a probe has failed.
func (e *ejection) begin(now time.Time, probed bool) time.Duration {
	if !probed {
		e.count = 0
	}
	span := min(maxEjection, firstEjection<<min(e.count, maxDoublings))
	e.count++
	e.serial++
	e.prober = false
	e.began, e.until, e.applies = now, now.Add(span), true
	return span
}

// active reports whether the upstream gets no calls but probes.
func (e *ejection) active(now time.Time) bool {
	return e.applies && now.Sub(e.until) < probeExpiry
}

// probeDue reports whether a call may probe the upstream. repeatable means that the call can be sent again
// if the upstream fails it.
func (e *ejection) probeDue(now time.Time, repeatable bool) bool {
	if e.probe || !e.active(now) {
		return false
	}
	return !now.Before(e.until) && (repeatable || now.Sub(e.until) >= anyProbeAfter)
}

// end ends the ejection after a successful probe.
func (e *ejection) end() { e.applies = false }
