package throttle

import "time"

const (
	// MaxRest bounds the rest that an upstream may request, so that an
	// erroneous value cannot take it out of service permanently.
	MaxRest = 5 * time.Minute
	// restSpread is the fraction of a rest by which its end is randomised
	// between instances, bounded by maxRestSpread, so that instances asked at
	// the same time do not all resume at the same time.
	restSpread    = 0.25
	maxRestSpread = time.Second
	// trialWait is how long after a rest the upstream is tested only with
	// requests that may be rejected without harm; after that any request is
	// used.
	trialWait = time.Second
)

// Rest tracks the rest that an upstream requested from one instance when it
// rejected a request: no requests until the end of the rest, then one at a time
// until the first is accepted. The zero value means no rest. It is not safe for
// concurrent use.
type Rest struct {
	until    time.Time
	untested bool // no request sent after the rest has been accepted yet
}

// Start records that the upstream requested a rest, and returns how long no
// requests are sent to it. draw is uniform in [0, 1).
func (r *Rest) Start(now time.Time, wanted time.Duration, draw float64) time.Duration {
	duration := min(wanted, MaxRest)
	duration += time.Duration(draw * float64(min(maxRestSpread, time.Duration(restSpread*float64(duration)))))
	if until := now.Add(duration); until.After(r.until) {
		r.until = until
	}
	r.untested = true
	return r.until.Sub(now)
}

// Active reports whether the rest is still in effect.
func (r *Rest) Active(now time.Time) bool { return now.Before(r.until) }

// Until returns the end of the rest, or the zero time if there was none.
func (r *Rest) Until() time.Time { return r.until }

// Untested reports whether the rest has ended and the upstream has accepted no
// request since.
func (r *Rest) Untested(now time.Time) bool { return r.untested && !r.Active(now) }

// Overdue reports whether the upstream has remained untested for so long after
// the rest that any request may be used to test it.
func (r *Rest) Overdue(now time.Time) bool { return r.untested && now.Sub(r.until) >= trialWait }

// Accepted records that the upstream accepted a request, and reports whether
// this lifts the limit on concurrent requests. A request sent before the end of
// the rest is ignored.
func (r *Rest) Accepted(sentAt time.Time) bool {
	if !r.untested || sentAt.Before(r.until) {
		return false
	}
	r.untested = false
	return true
}
