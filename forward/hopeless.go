package forward

import (
	"time"

	"celeryport/verdict"
)

// hopeless is the refusal of a call whose first event would come too late.
func (x *exchange) hopeless(first, excess time.Duration) error {
	back := x.comeBack(time.Until(x.deadline), excess)
	waited := x.age + time.Since(x.began)
	return verdict.Refuse(verdict.ReasonDeadline, back,
		"no place in time: read %s from now at the soonest, after %s of an objective of %s; %d of %d engines write streams with short pauses, %s to read at each on the mean",
		first.Round(time.Millisecond), waited.Round(time.Millisecond), x.route.Objective, x.seen.Tight, x.seen.Engines, x.seen.Backlog.Round(time.Millisecond))
}

// comeBack is when a refused caller finds what was in its way gone: after the
// excess, spread a little so that those who were refused together don't meet
// again. Callers wait a third of the time that they have left at most.
func (x *exchange) comeBack(left, excess time.Duration) time.Duration {
	spread := time.Duration(x.server.draw() * float64(returnSpread))
	return max(busyRetry, min(excess+spread, left/3))
}

// returnSpread is about the time in which an engine's streams turn over once in
// each of its slots.
const returnSpread = 200 * time.Millisecond
