package drain

import "time"

// marginTime is the time for the answer that ends a call at its deadline.
const marginTime = 50 * time.Millisecond

// Decision is whether a call is sure to end before the instance stops.
type Decision struct {
	At     time.Duration // since the begin of the drain
	Needed time.Duration // the longest that the call may take from now
	Left   time.Duration // until the end of the drain
}

// Sure reports whether the call ends in time whatever its upstream does.
func (d Decision) Sure() bool { return d.Needed <= d.Left }

// MayStartOver reports whether a call that has run for a time without an answer may end elsewhere if it starts over, at a
// time since the begin of a drain that takes limit at most.
func MayStartOver(ran, since, limit time.Duration) bool { return ran <= limit-since }

// Decide decides on a call that ends by itself after the time left, at a time since the begin of a drain that takes
// limit at most. How long other calls have taken is no bound: upstreams get slower while instances stop, because the
// others send them the calls of those.
func Decide(left, since, limit time.Duration) Decision {
	return Decision{At: since, Needed: max(0, left) + marginTime, Left: limit - since}
}
