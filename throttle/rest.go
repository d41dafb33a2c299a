package throttle

import "time"

// MostRest bounds the rest that an upstream may ask for: a wrong value must not take it out of
// service for good.
const MostRest = 5 * time.Minute

// Rest is what one instance owes an upstream that rejected a request and asked for rest. The
// zero value owes nothing. It is not safe for concurrent use.
type Rest struct {
	until time.Time
}

// Asked takes in that the upstream wants nothing for a time.
func (r *Rest) Asked(now time.Time, wanted time.Duration) {
	if until := now.Add(min(wanted, MostRest)); until.After(r.until) {
		r.until = until
	}
}

// Holds reports whether the upstream still rests.
func (r *Rest) Holds(now time.Time) bool { return now.Before(r.until) }
