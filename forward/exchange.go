package forward

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/event"
	"celeryport/httpwire"
	"celeryport/placement"
	"celeryport/settings"
	"celeryport/verdict"
)

// exchange brings one call to its end.
type exchange struct {
	server       *Server
	writer       *callerWriter
	call         *Call
	body         []byte
	began        time.Time
	route        *settings.Route
	service      *settings.ForwardedService
	organisation string
	priority     int
	revision     uint64
	deadline     time.Time
	age          time.Duration // of the call when it came, if its caller has tried before
	tries        int           // plans so far; each has reservations of its own
	sends        int           // that may have reached an upstream
	ended        int           // of these, sends to incarnations that had ended
	tried        []string      // incarnations
	firstAt      time.Time
	lastEvent    int64 // that the caller has
	hasEvent     bool
	events       int
	target       *node
	predicted    time.Duration // of the first event, from the last send
	readers      int           // engines that read the prompt
	seen         placement.Seen
	longestPause time.Duration // between two events
	eventAt      time.Time
	ran          bool // a send may have run
}

// sendsUnsent bounds the tries that met no upstream, for want of a connection or
// because another incarnation answered: each costs up to a connect timeout.
// Incarnations that had ended don't count as upstreams that a call was sent to: after
// a crash of 15 engines 100 calls were given up at the second such one.
const sendsUnsent = 4

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
		x.target = next.home
		result := x.send(ctx, next)
		if result.err == nil {
			x.served()
			return
		}
		if ctx.Err() != nil {
			x.left()
			return
		}
		x.noteFailedSend(result)
		if !result.elsewhere {
			x.tried = append(x.tried, next.home.name)
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

// settled reports whether this instance has settings to decide by.
func (s *Server) settled() bool {
	view := s.options.Plane.View()
	return view != nil && view.Tree != nil && view.Tree.Forwarding != nil
}

// awaitSettings has a call wait for the first settings of a process that has just
// started: they come with the first answer of a voter, after 0.2 s. Refused at once,
// 197 of 370 calls in the second after a restart of all processes came back to the
// same instances too early, or not at all.
func (x *exchange) awaitSettings(ctx context.Context) {
	until := x.began.Add(settingsWait)
	for !x.server.settled() && time.Now().Before(until) {
		if !pause(ctx, settingsTick) {
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
	x.service = tree.Forwarding.Service(x.route.Choose(x.server.draw()))
	x.deadline = x.began.Add(x.route.Timeout)
	if x.call.Wait > 0 {
		x.deadline = earlier(x.deadline, x.began.Add(x.call.Wait))
		x.age = x.server.patience.age(x.route.Name, x.call.Wait)
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
	if o.reached && x.sends-x.ended >= x.route.MaxSends || unsent+x.ended >= sendsUnsent {
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

// busyRetry is when to come back after upstreams turned a call away. Their
// queues turn over within about this time.
const busyRetry = 150 * time.Millisecond

// mayHaveRun reports whether any send of this call may have run.
func (x *exchange) mayHaveRun() bool { return x.ran }

// giveUp ends the call after the last send, with the upstream's own failure if
// there is one.
func (x *exchange) giveUp(last *outcome, err error) {
	if last != nil && last.held != nil && !x.writer.begun {
		x.pass(last.held)
		return
	}
	if last != nil && x.mayHaveRun() {
		err = x.failure(last)
	}
	x.refuse(err)
}

// pass hands on an upstream's own failure.
func (x *exchange) pass(held *heldAnswer) {
	x.firstAt = time.Now()
	x.writer.whole(&httpwire.ResponseHead{Status: held.status, Reason: held.reason, Fields: held.fields}, held.body)
	x.end("upstream-failure")
	eventServed.Log(x.server.options.Log, x.fields(event.Fields{"status": held.status}))
}

// refuse ends the call with an answer of this instance, or breaks the answer off
// if it has begun.
func (x *exchange) refuse(err error) {
	failed := verdict.From(err)
	if x.writer.begun {
		x.writer.close = true
		x.end("broken-off")
		eventFailed.Log(x.server.options.Log, x.fields(event.Fields{"reason": failed.Reason, "message": failed.Error()}))
		return
	}
	status := failed.Reason.Status()
	if failed.Verdict != verdict.NotRun && promisesNotRun(status) {
		status = http.StatusBadGateway
	}
	fields := x.server.options.Dialect.RefusalFields(x.call, failed.RetryAfter)
	x.writer.whole(&httpwire.ResponseHead{Status: status, Fields: append(fields, textFields...)}, []byte(failed.Message+"\n"))
	more := event.Fields{
		"status": status, "reason": failed.Reason, "message": failed.Error(), "retry_after_ms": failed.RetryAfter.Milliseconds(),
	}
	if failed.Verdict == verdict.NotRun {
		x.end("refused-" + string(failed.Reason))
		eventRefused.Log(x.server.options.Log, x.fields(more))
		return
	}
	x.end("failed-" + string(failed.Reason))
	eventFailed.Log(x.server.options.Log, x.fields(more))
}

// promisesNotRun reports whether callers take a status as the promise that the
// call has not run and never will.
func promisesNotRun(status int) bool {
	return slices.Contains([]int{
		http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	}, status)
}

func (x *exchange) served() {
	x.end("served")
	eventServed.Log(x.server.options.Log, x.fields(event.Fields{"status": http.StatusOK}))
}

func (x *exchange) left() {
	x.writer.close = true
	x.end("caller-left")
	eventCallerLeft.Log(x.server.options.Log, x.fields(nil))
}

func (x *exchange) noteFailedSend(o *outcome) {
	x.server.options.Metrics.sent(x.service.Name, o.verdict.String())
	eventSendFailed.Log(x.server.options.Log, event.Fields{
		"call": x.call.ID, "upstream": x.target.name, "address": x.target.address, "verdict": o.verdict.String(),
		"error": o.err.Error(), "events": x.events, "after_ms": time.Since(x.began).Milliseconds(),
	})
}

// end counts the call.
func (x *exchange) end(outcome string) {
	name := ""
	if x.route != nil {
		name = x.route.Name
	}
	var first time.Duration
	if !x.firstAt.IsZero() {
		first = x.firstAt.Sub(x.began)
	}
	x.server.options.Metrics.ended(name, outcome, first, time.Since(x.began))
}

// fields are those that every line about the end of a call has.
func (x *exchange) fields(more event.Fields) event.Fields {
	fields := event.Fields{"call": x.call.ID, "sends": x.sends, "total_ms": time.Since(x.began).Milliseconds(), "revision": x.revision}
	if x.route != nil {
		fields["route"] = x.route.Name
	}
	if x.target != nil {
		fields["upstream"] = x.target.name
	}
	if x.call.PromptTokens > 0 {
		fields["prompt"] = x.call.PromptTokens
		fields["predicted_ms"] = x.predicted.Milliseconds()
		fields["readers"] = x.readers
		fields["engines"] = x.seen.Engines
		fields["engines_tight"] = x.seen.Tight
		fields["backlog_ms"] = x.seen.Backlog.Milliseconds()
	}
	if x.events > 0 {
		fields["events"] = x.events
	}
	if x.longestPause > 0 {
		fields["pause_ms"] = x.longestPause.Milliseconds()
	}
	if !x.firstAt.IsZero() {
		fields["first_ms"] = x.firstAt.Sub(x.began).Milliseconds()
	}
	for name, value := range more {
		fields[name] = value
	}
	return fields
}
