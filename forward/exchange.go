package forward

import (
	"context"
	"slices"
	"time"

	"celeryport/clock"
	"celeryport/loadshare"
	"celeryport/placement"
	"celeryport/quarantine"
	"celeryport/resend"
	"celeryport/settings"
	"celeryport/transit"
	"celeryport/verdict"
)

// exchange handles one call from its admission to its answer.
type exchange struct {
	server        *Server
	writer        *callerWriter
	call          *Call
	body          []byte
	fingerprint   quarantine.Fingerprint
	began         time.Time
	route         *settings.Route
	service       *settings.ForwardedService
	organisation  string
	priority      int
	revision      uint64
	deadline      time.Time
	age           time.Duration   // time since the first try of the call, if the arbiter knows that it was refused before
	plans         int             // plans made so far; part of the names of asks and reservations
	lastAsk       string          // ID of the ask that led to the last placement
	arbiter       string          // instance that decided on the last placement of a long prompt, empty if this one did itself
	sends         int             // sends that may have reached an upstream
	failed        resend.Tally    // failed sends by cause
	missedAt      time.Time       // when the last send failed, if it found no running upstream
	tried         []loadshare.Key // upstreams that failed the call
	unusable      []loadshare.Key // engines in the arbiter's last answer that must not be used
	excluded      []loadshare.Key // all unusable and refused engines so far
	refused       []loadshare.Key // engines that refused to help
	sentTo        []loadshare.Key // engines that received the call as lead
	firstAt       time.Time
	lastEvent     int64 // last event that the caller has received
	hasEvent      bool
	events        int
	target        *node
	predicted     time.Duration // predicted time from the last send to the first event
	readers       int           // engines that read the prompt
	seen          placement.Seen
	longestPause  time.Duration // longest pause between two events
	pausedAt      time.Time     // when the longest pause began
	eventAt       time.Time     // time of the last event
	helpers       []*node       // engines that read a part of the prompt of the last send
	placedAt      time.Time     // when the last send was placed
	ran           bool          // a send may have run
	heldBack      bool          // it waited for the first settings, with the other calls of that time
	next          *work         // the send to which the call moves, already registered as in flight
	moves         int           // moves away from silent upstreams
	movedEvents   int           // events at the last move
	transit       *transit.Call // set if this instance handles the call for another one
	peersDeclined bool          // no other instance handles the call for this one
	handler       string        // the other instance that handled the last send, empty if none did
	assured       bool          // a long prompt with the minimum guarantee of its organisation
	withinShare   bool          // a short prompt that was not refused because of its organisation's share
}

// recordRejection records which engine received the call, and the helper because of which it was
// rejected.
func (x *exchange) recordRejection(w *work, o *outcome) {
	if o.reached && o.cause() != resend.Misdirected && !slices.Contains(x.sentTo, w.lead.key) {
		x.sentTo = append(x.sentTo, w.lead.key)
	}
	if o.helper == nil {
		return
	}
	x.refused = append(x.refused, o.helper.key)
	x.excluded = append(x.excluded, o.helper.key)
}

// allowedLeads lists the engines that may lead the call: once the call was sent to as many
// engines as its route allows, only these. Nil means any engine.
func (x *exchange) allowedLeads() []loadshare.Key {
	if len(x.sentTo) < x.maxSends() {
		return nil
	}
	return x.sentTo
}

// run handles the call until it is answered or abandoned. ctx ends when the caller leaves.
func (x *exchange) run(ctx context.Context) {
	if x.transit == nil {
		x.awaitSettings(ctx)
	}
	if ctx.Err() != nil {
		x.callerLeft()
		return
	}
	if err := x.admit(); err != nil {
		x.refuse(err)
		return
	}
	if x.quarantined() {
		x.refuse(errQuarantined())
		return
	}
	if !x.awaitTurn(ctx) {
		x.callerLeft()
		return
	}
	if x.transit == nil {
		x.server.budgets.recordCall(x.began, x.service.Name)
		x.countOffered(x.began)
	} else {
		x.server.budgets.recordHandled(time.Now(), x.service.Name)
	}
	defer x.cancelMove()
	var last *outcome
	for {
		if x.handBack() {
			return
		}
		if x.usesPeers() {
			if result := x.sendThroughPeers(ctx); result != nil {
				if x.concludeTransit(ctx, result) {
					return
				}
				last = result
				continue
			}
		}
		next, err := x.nextSend(ctx)
		if ctx.Err() != nil && err != nil {
			x.callerLeft()
			return
		}
		if err != nil {
			x.abandon(last, err)
			return
		}
		if x.quarantined() {
			x.server.fleet.end(next)
			x.abandon(last, errQuarantined())
			return
		}
		x.target, x.helpers, x.placedAt = next.lead, next.helpers, time.Now()
		x.countPlaced(x.placedAt)
		kind := kindOf(next, x.sends)
		result := x.send(ctx, next)
		result.kind = kind
		if result.err == nil {
			x.recordServed()
			return
		}
		if ctx.Err() != nil {
			x.callerLeft()
			return
		}
		if x.next != nil {
			x.recordMove(next, result)
			last = result
			continue
		}
		x.recordFailedSend(result)
		if !result.reached {
			x.server.fleet.awaitPaths(x.service.Name)
		}
		x.awaitEndCheck(ctx, result)
		result.pathLost = x.lostOnPath(ctx, result)
		x.recordRejection(next, result)
		if !result.otherAtFault {
			x.tried = append(x.tried, next.lead.key)
		}
		last = result
		if err := x.mayRepeat(result); err != nil {
			x.abandon(last, err)
			return
		}
	}
}

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

// lostOnPath reports whether the answer was lost with this instance's paths to the upstreams. If the
// call could not be sent again otherwise, it waits until that is known.
func (x *exchange) lostOnPath(ctx context.Context, o *outcome) bool {
	if o.ended == nil || !x.mayMove() {
		return false
	}
	if !x.server.fleet.pathsLost(x.service.Name) && x.failed.Counted()+1 >= x.maxSends() {
		bound := time.NewTimer(endCheckWait + maxPathsWait)
		defer bound.Stop()
		select {
		case <-o.ended:
		case <-bound.C:
		case <-ctx.Done():
		}
	}
	return x.server.fleet.pathsLost(x.service.Name)
}

// quarantined reports whether the call's request is quarantined because it crashes the upstreams
// that run it.
func (x *exchange) quarantined() bool {
	return x.server.fleet.suspects.rejects(time.Now(), x.fingerprint)
}

// hasSettings reports whether this instance has received forwarding settings.
func (s *Server) hasSettings() bool {
	view := s.options.Plane.View()
	return view != nil && view.Tree != nil && view.Tree.Forwarding != nil
}

// awaitSettings waits for the first settings of a process that has just started. They arrive
// with the first answer of a voter, a moment later; without the wait, all calls would be refused
// during that time after a restart of all processes.
func (x *exchange) awaitSettings(ctx context.Context) {
	until := x.began.Add(maxSettingsWait)
	for !x.server.hasSettings() && time.Now().Before(until) {
		x.heldBack = true
		if !clock.Pause(ctx, settingsPollInterval) {
			return
		}
	}
}

const (
	// maxSettingsWait bounds the wait for the first settings: two and a half times as long as
	// they usually take while voters are available.
	maxSettingsWait = 500 * time.Millisecond
	// settingsPollInterval is how often the wait checks for settings.
	settingsPollInterval = 10 * time.Millisecond
)

// admit determines the call's route, organisation, service and deadline, or returns a refusal.
func (x *exchange) admit() error {
	view := x.server.options.Plane.View()
	if err := x.declineUnread(view.Tree); err != nil {
		return err
	}
	if !x.server.hasSettings() {
		return verdict.Refuse(verdict.ReasonNoLease, x.spreadRetry(noSettingsRetry), "this instance has no settings yet")
	}
	tree := view.Tree
	x.revision = tree.Revision
	x.route = tree.Forwarding.Match(x.call.Host, x.call.Path)
	if x.route == nil {
		return verdict.Refuse(verdict.ReasonNotFound, 0, "no route for this host and path")
	}
	if !x.server.accepts(time.Now(), x.route.Stream) {
		return verdict.Refuse(verdict.ReasonDraining, drainingRetry, "this instance stops and can't finish the call any more")
	}
	x.priority = x.route.Priority
	if !x.route.Public && len(tree.Organisations) > 0 {
		name, known := tree.Authenticate(x.call.Key)
		if !known {
			return verdict.Refuse(verdict.ReasonUnauthorized, 0, "no organisation has this key")
		}
		x.organisation = name
		x.priority = tree.PriorityOf(name, x.priority)
	}
	x.fingerprint = quarantine.FingerprintOf(quarantine.ScopeOf(x.call.Host, x.call.Path, x.organisation), x.body)
	x.service = tree.Forwarding.Service(x.route.Choose(x.server.draw()))
	if x.transit != nil && x.server.fleet.pathsLost(x.service.Name) {
		return decline(verdict.ReasonNoUpstream, "this instance can't reach the upstreams either")
	}
	x.deadline = x.began.Add(x.route.Timeout)
	if x.call.Wait > 0 {
		x.deadline = earlier(x.deadline, x.began.Add(x.call.Wait))
	}
	x.lastEvent, x.hasEvent = x.call.ResumeAfter, x.call.Resumes
	return nil
}

// noSettingsRetry is the Retry-After of an instance that has just started: it gets its settings
// with its first sync, within a few tenths of a second.
const noSettingsRetry = 300 * time.Millisecond

// drainingRetry is the Retry-After of an instance that is stopping: callers may go to another
// instance at once, but not all in the same moment.
const drainingRetry = 50 * time.Millisecond

// mayRepeat records a failed send. It returns nil if another send may follow it, and the error for
// the caller otherwise.
func (x *exchange) mayRepeat(o *outcome) error {
	cause, now := o.cause(), time.Now()
	x.failed.Record(cause)
	x.missedAt = time.Time{}
	if cause.Missed() {
		x.missedAt = now
	}
	decision := x.failed.Decide(cause, resend.Limits{MaxSends: x.maxSends(), Left: x.deadline.Sub(now)})
	switch {
	case !x.repeatable(o) || !decision.Repeat:
		return x.failure(o)
	case decision.Charged && !x.server.budgets.takeRepeat(now, x.service.Name):
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
		return !x.writer.begun
	case settings.RepeatRest:
		return o.verdict != verdict.Ran || o.ownFailure == nil
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
