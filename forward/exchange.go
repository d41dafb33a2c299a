package forward

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/bytebudget"
	"celeryport/delivery"
	"celeryport/drain"
	"celeryport/helping"
	"celeryport/loadshare"
	"celeryport/paths"
	"celeryport/placement"
	"celeryport/quarantine"
	"celeryport/resend"
	"celeryport/resume"
	"celeryport/settings"
	"celeryport/transit"
)

// exchange handles one call from its admission to its answer.
type exchange struct {
	server        *Server
	writer        *delivery.Writer
	call          *Call
	body          []byte
	dropBody      func() // gives back the memory of the body
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
	unsentSince   time.Time       // when the call could not be sent first because an upstream took no connection
	tried         []loadshare.Key // upstreams that failed the call
	unusable      []loadshare.Key // engines in the arbiter's last answer that must not be used
	excluded      []loadshare.Key // all unusable and refused engines so far
	refused       []loadshare.Key // engines that refused to help
	silent        helping.Silent
	patience      time.Duration   // for which the next send waits for helpers that do not reply
	sentTo        []loadshare.Key // engines that received the call as lead
	firstAt       time.Time
	received      resume.Stream // events that the caller has received
	events        int
	target        *node
	predicted     time.Duration // predicted time from the last send to the first event
	readers       int           // engines that read the prompt
	seen          placement.Seen
	isolation     isolation
	failureHeld   *bytebudget.Claim // memory of the failure answer that is kept
	longestPause  time.Duration     // longest pause between two events
	pausedAt      time.Time         // when the longest pause began
	eventAt       time.Time         // time of the last event
	helpers       []*node           // engines that read a part of the prompt of the last send
	placedAt      time.Time         // when the last send was placed
	ran           bool              // a send may have run
	interrupted   func() bool       // whether the call ends because this instance stops; nil: it does not
	heldBack      bool              // it waited for the first settings, with the other calls of that time
	next          *work             // the send to which the call moves, already registered as in flight
	moves         int               // moves away from silent upstreams
	leftSilent    bool              // it has left an upstream that was silent, so that it can't be refused as not run
	movedEvents   int               // events at the last move
	back          *node             // engine that the next placement may return to, nil if none
	returned      bool              // it has returned to an engine that it had left
	transit       *transit.Call     // set if this instance handles the call for another one
	peersDeclined bool              // no other instance handles the call for this one
	sentFrom      int               // events of the answer before the last send
	stopDecision  *drain.Decision   // last decision on the call while this instance stops, nil if there was none
	serving       string            // the other instance that has last said that it serves the service, empty if none has
	brokenBy      []string          // other instances whose answers to the call broke
	handler       string            // the other instance that handled the last send, empty if none did
	assured       bool              // a long prompt with the minimum guarantee of its organisation
	withinShare   bool              // a short prompt that was not refused because of its organisation's share
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
	if errors.Is(o.err, errNoReply) {
		x.silent.Add(time.Now(), o.helper.key)
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
	if !x.begin(ctx) {
		return
	}
	defer x.cancelMove()
	defer x.keepFailure(nil)
	var last *outcome
	for ended := x.handBack(); !ended; {
		last, ended = x.sendAgain(ctx, last)
		ended = ended || x.handBack()
	}
}

// begin admits the call and counts it. It returns false if the call has ended.
func (x *exchange) begin(ctx context.Context) bool {
	if x.transit == nil {
		x.awaitSettings(ctx)
	}
	if ctx.Err() != nil {
		x.callerLeft()
		return false
	}
	if err := x.admit(); err != nil {
		x.refuse(err)
		return false
	}
	if x.quarantined() {
		x.refuse(errQuarantined())
		return false
	}
	if !x.awaitTurn(ctx) {
		x.callerLeft()
		return false
	}
	if x.transit == nil {
		x.server.budgets.RecordCall(x.began, x.service.Name)
		x.countOffered(x.began)
	} else {
		x.server.budgets.RecordHandled(time.Now(), x.service.Name)
	}
	return true
}

// sendAgain sends the call once, through another instance or to an upstream. It returns the outcome,
// and whether the call has ended. last is the outcome of the send before, nil if there was none.
func (x *exchange) sendAgain(ctx context.Context, last *outcome) (result *outcome, ended bool) {
	if x.next == nil && !x.goesOnInStop(time.Now()) {
		x.abandon(last, x.stopRefusal())
		return last, true
	}
	x.beforeRepeat(last)
	x.server.fleet.paths.Settle(x.service.Name)
	if x.usesPeers() {
		if result := x.sendThroughPeers(ctx); result != nil {
			return result, x.concludeTransit(ctx, result)
		}
	}
	next, err := x.nextSendWithout(ctx)
	if err != nil && ctx.Err() == nil && (x.readmitSilentHelpers() || x.awaitPlace(ctx, err)) {
		return last, false
	}
	if err != nil && ctx.Err() != nil {
		x.callerLeft()
		return last, true
	}
	if err != nil {
		x.abandon(last, err)
		return last, true
	}
	if x.quarantined() {
		x.server.fleet.end(next)
		x.abandon(last, errQuarantined())
		return last, true
	}
	if !x.beginIsolated(time.Now()) {
		x.server.fleet.end(next)
		x.awaitIsolated(ctx)
		if ctx.Err() != nil {
			x.callerLeft()
			return last, true
		}
		return last, false
	}
	next.patience = x.patience
	x.target, x.helpers, x.placedAt = next.lead, next.helpers, time.Now()
	x.countPlaced(x.placedAt)
	kind := kindOf(next, x.sends)
	result = x.send(ctx, next)
	result.kind = kind
	x.endIsolated(result)
	if result.err == nil {
		x.deliverWhole(result)
		x.recordServed()
		return result, true
	}
	if x.logUndelivered() {
		return result, true
	}
	if ctx.Err() != nil {
		x.callerLeft()
		return result, true
	}
	if errors.Is(result.err, errStopping) {
		x.withdrawGrant()
		x.abandon(last, x.stopRefusal())
		return result, true
	}
	if x.next != nil {
		x.recordMove(next, result)
		return result, false
	}
	return result, !x.continuesAfter(ctx, next, result)
}

// continuesAfter records a failed send and reports whether the call is sent again. Otherwise the call
// has ended.
func (x *exchange) continuesAfter(ctx context.Context, w *work, result *outcome) bool {
	x.recordFailedSend(result)
	if !result.reached {
		x.server.fleet.paths.Await(x.service.Name)
	}
	x.server.fleet.paths.Settle(x.service.Name)
	x.awaitEndCheck(ctx, result)
	x.awaitDecision(ctx, result)
	result.pathLost = x.lostOnPath(ctx, result)
	if ctx.Err() != nil {
		x.callerLeft()
		return false
	}
	if result.pathLost && x.handBack() {
		return false // the other instance decides whether it is sent again, and charges that
	}
	x.recordRejection(w, result)
	if !result.otherAtFault && !errors.Is(result.err, paths.ErrLost) {
		x.tried = append(x.tried, w.lead.key)
	}
	if err := x.outlastSilence(ctx, result, x.mayRepeat(result)); err != nil {
		x.abandon(result, err)
		return false
	}
	if x.causeOf(result) == resend.Rejected {
		x.outlastRejection(ctx, w.lead)
	}
	return true
}

// quarantined reports whether the call's request is quarantined because it crashes the upstreams
// that run it.
func (x *exchange) quarantined() bool {
	return x.server.fleet.suspects.rejects(time.Now(), x.fingerprint, x.call.PromptParts)
}
