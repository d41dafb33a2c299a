package throttle

import "time"

const (
	// MostRest bounds the rest that an upstream may ask for: a wrong value must not take it out
	// of service for good.
	MostRest = 5 * time.Minute
	// restSpread is the part of a rest by which its end differs between instances, and
	// mostRestSpread bounds it: those that were asked at the same moment don't all come back at
	// the same moment.
	restSpread     = 0.25
	mostRestSpread = time.Second
	// trialWait is how long after a rest an upstream waits for a request that may be rejected
	// without harm; then any other finds out whether it accepts them.
	trialWait = time.Second
)

// Rest is what one instance owes an upstream that rejected a request and asked for rest: no
// request until the end, and then one after the other until the first is accepted. The zero
// value owes nothing. It is not safe for concurrent use.
type Rest struct {
	until  time.Time
	unsure bool // no request that was sent after the rest has been accepted yet
}

// Asked takes in that the upstream wants nothing for a time, and returns for how long it gets
// nothing. draw is uniform in [0, 1).
func (r *Rest) Asked(now time.Time, wanted time.Duration, draw float64) time.Duration {
	kept := min(wanted, MostRest)
	kept += time.Duration(draw * float64(min(mostRestSpread, time.Duration(restSpread*float64(kept)))))
	if until := now.Add(kept); until.After(r.until) {
		r.until = until
	}
	r.unsure = true
	return r.until.Sub(now)
}

// Holds reports whether the upstream still rests.
func (r *Rest) Holds(now time.Time) bool { return now.Before(r.until) }

// Until returns the end of the rest, the zero time if there was none.
func (r *Rest) Until() time.Time { return r.until }

// Unsure reports whether the rest is over and the upstream has accepted nothing since.
func (r *Rest) Unsure(now time.Time) bool { return r.unsure && !r.Holds(now) }

// Overdue reports whether nothing was found out for so long after the rest that any request may.
func (r *Rest) Overdue(now time.Time) bool { return r.unsure && now.Sub(r.until) >= trialWait }

// Accepted takes in that the upstream accepted a request, and reports whether the upstream may
// get any number of requests again. One that was sent before the end of the rest says nothing.
func (r *Rest) Accepted(sentAt time.Time) bool {
	if !r.unsure || sentAt.Before(r.until) {
		return false
	}
	r.unsure = false
	return true
}
