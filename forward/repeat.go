package forward

import (
	"context"
	"time"

	"celeryport/clock"
	"celeryport/paths"
	"celeryport/resend"
	"celeryport/settings"
	"celeryport/verdict"
)

// awaitEndCheck waits until it is known whether the upstream ended, if the upstream had just
// begun to run the call. Otherwise a request that crashes its upstreams would reach the next one
// each time before the evidence from the previous one is recorded.
func (x *exchange) awaitEndCheck(ctx context.Context, o *outcome) {
	if o.checked == nil {
		return
	}
	bound := time.NewTimer(endCheckWait)
	defer bound.Stop()
	select {
	case <-o.checked:
	case <-bound.C:
	case <-ctx.Done():
	}
}

// decisionWait bounds how long a call waits until control has decided on the parts of its prompt: the
// delays of collecting evidence and some round trips.
const decisionWait = 250 * time.Millisecond

// awaitDecision waits for the decision on a prompt with a part that is about to be blamed, if the
// upstream ended when it had just begun to run the call. Otherwise the call would reach one more
// upstream before the evidence of this one counts.
func (x *exchange) awaitDecision(ctx context.Context, o *outcome) {
	if o.checked == nil {
		return
	}
	until := time.Now().Add(decisionWait)
	for x.server.fleet.suspects.undecided(time.Now(), x.call.PromptParts) && time.Now().Before(until) {
		if !clock.Pause(ctx, decisionPollInterval) {
			return
		}
	}
}

// decisionPollInterval is how often awaitDecision looks for a decision.
const decisionPollInterval = 10 * time.Millisecond

// lostOnPath reports whether the answer was lost with this instance's paths to the upstreams. If the
// call could not be sent again otherwise, it waits until that is known.
func (x *exchange) lostOnPath(ctx context.Context, o *outcome) bool {
	if o.ended == nil || !x.mayMove() {
		return false
	}
	if !x.server.fleet.paths.Lost(x.service.Name) && x.failed.Counted()+1 >= x.maxSends() {
		bound := time.NewTimer(endCheckWait + paths.MaxWait)
		defer bound.Stop()
		select {
		case <-o.ended:
		case <-bound.C:
		case <-ctx.Done():
		}
	}
	return x.server.fleet.paths.Lost(x.service.Name)
}

// mayRepeat records a failed send. It returns nil if another send may follow it, and the error for
// the caller otherwise.
func (x *exchange) mayRepeat(o *outcome) error {
	cause, now := x.causeOf(o), time.Now()
	x.failed.Record(cause)
	x.missedAt = time.Time{}
	if cause.Missed() {
		x.missedAt = now
	}
	decision := x.failed.Decide(cause, resend.Limits{MaxSends: x.maxSends(), Left: x.deadline.Sub(now)})
	switch {
	case !x.repeatable(o) || !decision.Repeat:
		return x.failure(o)
	case decision.Charged && !x.server.takeRepeat(now, x.service.Name):
		return x.failure(o)
	default:
		return nil
	}
}

// repeatable reports whether a call may be sent again after the outcome of a send.
func (x *exchange) repeatable(o *outcome) bool {
	if o.verdict == verdict.NotRun {
		return true
	}
	switch x.route.Repeat {
	case settings.RepeatWhole:
		return !x.writer.Begun()
	case settings.RepeatRest:
		return x.received.Resumable() && (o.verdict != verdict.Ran || o.ownFailure == nil)
	default:
		return false
	}
}

// failure returns the error for the caller after the last send.
func (x *exchange) failure(o *outcome) error {
	if o.verdict == verdict.NotRun && !x.mayHaveRun() {
		return verdict.Wrap(o.err, verdict.NotRun, verdict.ReasonNoUpstream, "no upstream took the call").After(busyRetry)
	}
	if !time.Now().Before(x.deadline) {
		return verdict.Wrap(o.err, verdict.MayHaveRun, verdict.ReasonTimeout, "no answer in time")
	}
	return verdict.Wrap(o.err, verdict.MayHaveRun, verdict.ReasonUpstream, "the upstream failed")
}

// busyRetry is the Retry-After when upstreams rejected a call: their queues turn over within
// about this time.
const busyRetry = 150 * time.Millisecond

// mayHaveRun reports whether any send of this call may have run.
func (x *exchange) mayHaveRun() bool { return x.ran }
