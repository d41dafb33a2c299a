package recovery

import "time"

const (
	// turnFraction is the part of its objective that a call may wait for its turn, one in so
	// many: 16 ms of 250 ms.
	turnFraction = 16
	// minRetrySpread is the shortest time over which refused calls return: each slot of an engine
	// finishes about one stream meanwhile.
	minRetrySpread = 200 * time.Millisecond
	// maxRetryFraction is the part of the remaining time of a call after which its caller is asked
	// to return at the latest, one in so many, so that there is time to serve it.
	maxRetryFraction = 3
)

// Turn returns how long a call that was held back with others is delayed after all of them may be
// placed. The delay is the prefill time, so that the shortest prompts are placed first, on all
// instances alike and without an exchange between them; each of the longer ones delays more
// calls than it would wait for.
func Turn(prefill, objective time.Duration) time.Duration {
	return max(0, min(prefill, objective/turnFraction))
}

// RetryAfter returns when the caller of a refused call should return. excess is how much too late
// the call would have been served, backlog the time that the engines need for what is before it,
// left the time until its caller gives up, and draw is uniform in [0, 1). Callers that were
// refused at the same moment return evenly over the backlog: if they came back together, most
// would be refused again, while engines idle before and after.
func RetryAfter(excess, backlog, left time.Duration, draw float64) time.Duration {
	spread := time.Duration(draw * float64(max(backlog, minRetrySpread)))
	return max(0, min(excess+spread, left/maxRetryFraction))
}
