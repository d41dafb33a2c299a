package forward

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/clock"
	"celeryport/loadshare"
	"celeryport/placement"
	"celeryport/quarantine"
	"celeryport/settings"
	"celeryport/verdict"
)

// exchange brings one call to its end.
type exchange struct {
	server       *Server
	writer       *callerWriter
	call         *Call
	body         []byte
	fingerprint  quarantine.Fingerprint
	began        time.Time
	route        *settings.Route
	service      *settings.ForwardedService
	organisation string
	priority     int
	revision     uint64
	deadline     time.Time
	age          time.Duration   // of the call when it came, if the arbiter knows that it was refused before
	tries        int             // plans so far; each has reservations of its own
	lastAsk      string          // ID of the ask that got the call its last place
	sends        int             // that may have reached an upstream
	ended        int             // of these, sends to incarnations that had ended
	tried        []loadshare.Key // upstreams that failed the call
	unusable     []loadshare.Key // that the arbiter named last and that may not be used
	barred       []loadshare.Key // all of these, and engines that refused to help
	refused      []loadshare.Key // engines that refused to help
	leads        []loadshare.Key // engines that got the call
	rejections   int             // sends that were rejected for want of a helper
	firstAt      time.Time
	lastEvent    int64 // that the caller has
	hasEvent     bool
	events       int
	target       *node
	predicted    time.Duration // of the first event, from the last send
	readers      int           // engines that read the prompt
	seen         placement.Seen
	longestPause time.Duration // between two events
	pausedAt     time.Time     // when that pause began
	eventAt      time.Time     // of the last event
	helpers      []*node       // that read a part of the last send's prompt
	placedAt     time.Time     // when the last send got its place
	ran          bool          // a send may have run
}

// sendsUnsent bounds the tries that met no upstream, for want of a connection or
// because another incarnation answered: each costs up to a connect timeout.
// Incarnations that had ended don't count as upstreams that a call was sent to: after
// a crash of many engines calls would be given up at the second such one.
const sendsUnsent = 4

// mostRejections bounds the sends of one call that are rejected for want of a helper.
// Each takes a round trip and names one engine that is not asked to help again.
const mostRejections = 6

// noteRejection notes which engine got the call, and the helper for whose want it was
// rejected.
func (x *exchange) noteRejection(w *work, o *outcome) {
	if o.reached && !slices.Contains(x.leads, w.lead.key) {
		x.leads = append(x.leads, w.lead.key)
	}
	if o.helper == nil {
		return
	}
	if o.reached {
		x.rejections++
	}
	x.refused = append(x.refused, o.helper.key)
	x.barred = append(x.barred, o.helper.key)
}

// mayLead lists the engines that may lead the call: those that got it already once as
// many did as its route allows. Empty: any.
func (x *exchange) mayLead() []loadshare.Key {
	if len(x.leads)-x.ended < x.route.MaxSends {
		return nil
	}
	return x.leads
}

// run answers the call. ctx ends when the caller leaves.
func (x *exchange) run(ctx context.Context) {
	x.awaitSettings(ctx)
	if ctx.Err() != nil {
		x.left()
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
	x.server.budgets.call(x.began, x.service.Name)
	var last *outcome
	unsent := 0
	for {
		next, err := x.place(ctx)
		if ctx.Err() != nil && err != nil {
			x.left()
			return
		}
		if err != nil {
			x.giveUp(last, err)
			return
		}
		if x.quarantined() {
			x.server.fleet.end(next)
			x.giveUp(last, errQuarantined())
			return
		}
		x.target, x.helpers, x.placedAt = next.lead, next.helpers, time.Now()
		kind := kindOf(next, x.sends)
		result := x.send(ctx, next)
		result.kind = kind
		if result.err == nil {
			x.served()
			return
		}
		if ctx.Err() != nil {
			x.left()
			return
		}
		x.noteFailedSend(result)
		x.awaitCheck(ctx, result)
		x.noteRejection(next, result)
		if !result.elsewhere {
			x.tried = append(x.tried, next.lead.key)
		}
		if !result.reached {
			unsent++
		}
		if errors.Is(result.err, errElsewhere) {
			x.ended++
		}
		last = result
		if err := x.mayRepeat(result, unsent); err != nil {
			x.giveUp(last, err)
			return
		}
	}
}

// awaitCheck has a call whose upstream had just begun to run it wait until it is known whether
// the upstream ended: sent again before, a request that crashes its upstreams is always one
// upstream ahead of the evidence against it.
func (x *exchange) awaitCheck(ctx context.Context, o *outcome) {
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

// quarantined reports whether the call crashes the upstreams that run it.
func (x *exchange) quarantined() bool {
	return x.server.fleet.suspects.rejects(time.Now(), x.fingerprint)
}

// settled reports whether this instance has settings to decide by.
func (s *Server) settled() bool {
	view := s.options.Plane.View()
	return view != nil && view.Tree != nil && view.Tree.Forwarding != nil
}

// awaitSettings has a call wait for the first settings of a process that has just
// started: they come with the first answer of a voter, a moment later. After a restart of
// all processes all calls would else be refused until then.
func (x *exchange) awaitSettings(ctx context.Context) {
	until := x.began.Add(settingsWait)
	for !x.server.settled() && time.Now().Before(until) {
		if !clock.Pause(ctx, settingsTick) {
			return
		}
	}
}

const (
	// settingsWait bounds the wait for the first settings: two and a half times as long
	// as they take while voters are there.
	settingsWait = 500 * time.Millisecond
	// settingsTick is how often it is looked for them.
	settingsTick = 10 * time.Millisecond
)

// admit finds the route and whose call it is.
func (x *exchange) admit() error {
	view := x.server.options.Plane.View()
	if !x.server.settled() {
		return verdict.Refuse(verdict.ReasonNoLease, unsettledRetry, "this instance has no settings yet")
	}
	tree := view.Tree
	x.revision = tree.Revision
	x.route = tree.Forwarding.Match(x.call.Host, x.call.Path)
	if x.route == nil {
		return verdict.Refuse(verdict.ReasonNotFound, 0, "no route for this host and path")
	}
	if !x.server.takes(time.Now(), x.route.Stream) {
		return verdict.Refuse(verdict.ReasonDraining, elsewhereRetry, "this instance stops and can't finish the call any more")
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
	x.deadline = x.began.Add(x.route.Timeout)
	if x.call.Wait > 0 {
		x.deadline = earlier(x.deadline, x.began.Add(x.call.Wait))
	}
	x.lastEvent, x.hasEvent = x.call.ResumeAfter, x.call.Resumes
	return nil
}

// unsettledRetry is when to come back to an instance that has just started: it
// gets its settings with its first sync, within a few tenths of a second.
const unsettledRetry = 300 * time.Millisecond

// elsewhereRetry is when a caller of an instance that stops may come to another
// one: at once, but not in the same moment as all others.
const elsewhereRetry = 50 * time.Millisecond

// mayRepeat returns nil if another send may follow a failed one.
func (x *exchange) mayRepeat(o *outcome, unsent int) error {
	if !x.repeatable(o) {
		return x.failure(o)
	}
	if o.reached && x.sends-x.ended-x.rejections >= x.route.MaxSends || unsent+x.ended >= sendsUnsent || x.rejections >= mostRejections {
		return x.failure(o)
	}
	now := time.Now()
	if o.reached && !x.server.budgets.take(now, x.service.Name) {
		return x.failure(o)
	}
	if !now.Before(x.deadline) {
		return x.failure(o)
	}
	return nil
}

// repeatable reports whether a call may run again after what came of a send.
func (x *exchange) repeatable(o *outcome) bool {
	if o.verdict == verdict.NotRun {
		return true
	}
	switch x.route.Repeat {
	case settings.Whole:
		return !x.writer.begun
	case settings.Rest:
		return o.verdict != verdict.Ran || o.held == nil
	default:
		return false
	}
}

// failure tells the caller what came of the last send.
func (x *exchange) failure(o *outcome) error {
	if o.verdict == verdict.NotRun && !x.mayHaveRun() {
		return verdict.Wrap(o.err, verdict.NotRun, verdict.ReasonNoUpstream, "no upstream took the call").After(busyRetry)
	}
	if !time.Now().Before(x.deadline) {
		return verdict.Wrap(o.err, verdict.MayHaveRun, verdict.ReasonTimeout, "no answer in time")
	}
	return verdict.Wrap(o.err, verdict.MayHaveRun, verdict.ReasonUpstream, "the upstream failed")
}

// busyRetry is when to come back after upstreams rejected a call. Their
// queues turn over within about this time.
const busyRetry = 150 * time.Millisecond

// mayHaveRun reports whether any send of this call may have run.
func (x *exchange) mayHaveRun() bool { return x.ran }
