package forward

import (
	"time"

	"celeryport/recovery"
	"celeryport/verdict"
)

// refuseTooLate refuses a call whose first event would arrive after its objective.
func (x *exchange) refuseTooLate(first, excess time.Duration) error {
	left := time.Until(x.deadline)
	var back time.Duration
	if x.server.recovering(time.Now()) {
		back = max(busyRetry, recovery.RetryAfter(excess, max(first, x.seen.Backlog), left, x.server.draw()))
	} else {
		back = x.retryAfter(left, excess)
	}
	waited := x.age + time.Since(x.began)
	return verdict.Refuse(verdict.ReasonDeadline, back,
		"no place in time: read %s from now at the soonest, after %s of an objective of %s; %d of %d engines write streams with short pauses, %s to read at each on the mean",
		first.Round(time.Millisecond), waited.Round(time.Millisecond), x.route.Objective, x.seen.Tight, x.seen.Engines, x.seen.Backlog.Round(time.Millisecond))
}

// retryAfter returns when a refused caller should try again: after the excess over the
// objective, with a random spread so that callers that were refused together don't return
// together, but after a third of the call's remaining time at most.
func (x *exchange) retryAfter(left, excess time.Duration) time.Duration {
	spread := time.Duration(x.server.draw() * float64(retrySpread))
	return max(busyRetry, min(excess+spread, left/3))
}

// retrySpread is about the time in which each slot of an engine finishes one stream.
const retrySpread = 200 * time.Millisecond
