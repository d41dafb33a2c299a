package forward

import (
	"context"
	"slices"
	"time"

	"celeryport/clock"
	"celeryport/failover"
	"celeryport/loadshare"
	"celeryport/resend"
	"celeryport/verdict"
)

// answerBegun reports whether the caller has received a part of the answer, through this instance or through the
// one that handed the call over. A refusal would cost the caller that answer, whereas a new call loses only the time
// until it is repeated, so the decisions on new calls don't apply.
func (x *exchange) answerBegun() bool { return x.events > 0 }

// awaitPlace lets a call whose answer has begun wait after it found no place, and reports whether it may try again.
func (x *exchange) awaitPlace(ctx context.Context, err error) bool {
	now := time.Now()
	if !x.answerBegun() || !passing(err) || !now.Add(maxReplanWait).Before(x.deadline) || !x.mayFindPlace(now) {
		return false
	}
	x.plans++ // the arbiter repeats its answer to an ask of the same name
	return clock.Pause(ctx, maxReplanWait)
}

// causeOf returns why a send of the call failed.
func (x *exchange) causeOf(o *outcome) resend.Cause {
	cause := o.cause()
	if cause == resend.Counted && o.verdict == verdict.NotRun && x.answerBegun() {
		return resend.Rejected
	}
	return cause
}

// outlastRejection lets a call whose answer has begun wait, if no other upstream is left that it may be sent to, and try
// the one again that has just rejected it.
func (x *exchange) outlastRejection(ctx context.Context, rejecting *node) {
	if x.mayFindPlace(time.Now()) {
		return
	}
	clock.Pause(ctx, busyRetry)
	x.tried = slices.DeleteFunc(x.tried, func(key loadshare.Key) bool { return key == rejecting.key })
	x.plans++ // the arbiter repeats its answer to an ask of the same name
}

// passing reports whether a refusal is due to the present load or state of the upstreams.
func passing(err error) bool {
	failed := verdict.From(err)
	return failed.Verdict == verdict.NotRun && slices.Contains([]verdict.Reason{verdict.ReasonDeadline, verdict.ReasonNoUpstream, verdict.ReasonShare}, failed.Reason)
}

// mayFindPlace reports whether an upstream runs that the call may still be sent to.
func (x *exchange) mayFindPlace(now time.Time) bool {
	f, leads := x.server.fleet, x.allowedLeads()
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, n := range f.inUse(x.server.options.Plane.View().Upstreams, x.service.Name) {
		used := slices.Contains(x.tried, key) || slices.Contains(x.excluded, key) || leads != nil && !slices.Contains(leads, key)
		if !used && n.reachability.Contact(now, false) != failover.Ended {
			return true
		}
	}
	return false
}
