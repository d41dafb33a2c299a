package forward

import (
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/event"
	"celeryport/failover"
	"celeryport/forward/telemetry"
	"celeryport/httpwire"
	"celeryport/quarantine"
	"celeryport/transit"
	"celeryport/verdict"
)

// abandon ends the call after its last send, with the upstream's own failure answer if there is
// one.
func (x *exchange) abandon(last *outcome, err error) {
	if last != nil && last.ownFailure != nil && !x.writer.Begun() {
		x.forwardFailure(last.ownFailure)
		return
	}
	if last != nil && x.mayHaveRun() {
		err = x.failure(last)
	}
	x.refuse(err)
}

// forwardFailure forwards an upstream's own failure answer to the caller.
func (x *exchange) forwardFailure(failed *failureAnswer) {
	x.endSends()
	x.firstAt = time.Now()
	x.writer.Pieces(&httpwire.ResponseHead{Status: failed.status, Reason: failed.reason, Fields: failed.fields}, failed.pieces, x.returnFailure)
	if x.logUndelivered() {
		return
	}
	x.end("upstream-failure")
	eventServed.Log(x.server.options.Log, x.fields(event.Fields{"status": failed.status}))
}

// refuse ends the call with an error answer of this instance, or aborts the answer if it has
// begun.
func (x *exchange) refuse(err error) {
	failed := verdict.From(err)
	if x.writer.Begun() {
		x.writer.Close = true
		x.end("broken-off")
		observed := x.observedUpstream(time.Now())
		x.server.options.Metrics.AnswerCut(x.service.Name, string(failed.Reason), observed)
		eventFailed.Log(x.server.options.Log, x.fields(event.Fields{"reason": failed.Reason, "message": failed.Error(), "observed": observed}))
		return
	}
	status := failed.Status()
	fields := x.server.options.Dialect.RefusalFields(x.call, failed.RetryAfter)
	if x.transit != nil {
		refusal := transit.Refusal{Declined: errors.Is(err, errDeclined), Verdict: failed.Verdict, Reason: failed.Reason, RetryAfter: failed.RetryAfter}
		fields = append(fields, refusal.Field())
	}
	x.writer.Whole(&httpwire.ResponseHead{Status: status, Fields: append(fields, textFields...)}, []byte(failed.Message+"\n"))
	more := event.Fields{
		"status": status, "reason": failed.Reason, "message": failed.Error(), "retry_after_ms": failed.RetryAfter.Milliseconds(),
	}
	if failed.Reason == verdict.ReasonQuarantined {
		more["request"] = x.fingerprint.String()
		if len(x.call.PromptParts) > 0 {
			more["parts"] = formatParts(x.call.PromptParts)
		}
	}
	if errors.Is(err, errDeclined) {
		x.server.options.Metrics.Transit(telemetry.TransitRefused)
		return
	}
	if failed.Verdict == verdict.NotRun {
		x.end("refused-" + string(failed.Reason))
		eventRefused.Log(x.server.options.Log, x.fields(more))
		return
	}
	x.end("failed-" + string(failed.Reason))
	eventFailed.Log(x.server.options.Log, x.fields(more))
}

// observedUpstream returns what is known of the upstream that received the call last, for logs and metrics.
func (x *exchange) observedUpstream(now time.Time) string {
	fleet := x.server.fleet
	switch {
	case fleet.paths.Lost(x.service.Name):
		return failover.PathsLost.String()
	case x.target == nil:
		return "none"
	default:
		return fleet.contactOf(now, x.target, x.eventAt).String()
	}
}

func (x *exchange) recordServed() {
	x.server.fleet.suspects.recordServed(time.Now(), x.fingerprint, x.call.PromptParts)
	if x.logUndelivered() {
		return
	}
	x.end("served")
	eventServed.Log(x.server.options.Log, x.fields(event.Fields{"status": http.StatusOK}))
}

// logUndelivered concludes a call whose caller did not take the whole answer, and reports whether that is so.
func (x *exchange) logUndelivered() bool {
	err := x.writer.Failure()
	if err == nil {
		return false
	}
	x.end("caller-left")
	eventCallerLeft.Log(x.server.options.Log, x.fields(event.Fields{"error": err.Error()}))
	return true
}

// callerLeft ends a call whose context has ended: its caller has left, or this instance stops.
func (x *exchange) callerLeft() {
	x.withdrawGrant()
	if x.interrupted != nil && x.interrupted() {
		x.countInterrupted()
		x.refuse(x.stopRefusal())
		return
	}
	x.writer.Close = true
	x.end("caller-left")
	eventCallerLeft.Log(x.server.options.Log, x.fields(x.refuseHalfClosed()))
}

func (x *exchange) recordFailedSend(o *outcome) {
	x.server.options.Metrics.Sent(x.service.Name, o.verdict.String())
	fields := event.Fields{
		"call": x.call.ID, "upstream": x.target.name, "address": x.target.address, "verdict": o.verdict.String(),
		"error": o.err.Error(), "phase": o.phase.String(), "kind": o.kind.String(), "request": x.fingerprint.String(), "events": x.events, "after_ms": time.Since(x.began).Milliseconds(),
	}
	if len(x.call.PromptParts) > 0 {
		fields["parts"] = formatParts(x.call.PromptParts)
	}
	if o.helper != nil {
		fields["helper"] = o.helper.name
	}
	eventSendFailed.Log(x.server.options.Log, fields)
}

// end records the metrics of the finished call.
func (x *exchange) end(outcome string) {
	if x.transit != nil {
		x.server.options.Metrics.Transit(telemetry.TransitHandled) // counted by the instance that received it
		return
	}
	name := ""
	if x.route != nil {
		name = x.route.Name
	}
	var first time.Duration
	if !x.firstAt.IsZero() {
		first = x.firstAt.Sub(x.began)
	}
	x.server.options.Metrics.Ended(name, outcome, first, time.Since(x.began))
}

// fields returns the fields common to all log lines about the end of a call, with more added to
// them.
func (x *exchange) fields(more event.Fields) event.Fields {
	fields := event.Fields{"call": x.call.ID, "sends": x.sends, "total_ms": time.Since(x.began).Milliseconds(), "revision": x.revision}
	if x.route != nil {
		fields["route"] = x.route.Name
		fields["objective_ms"] = x.route.Objective.Milliseconds()
		fields["pause_limit_ms"] = x.route.PauseLimit.Milliseconds()
	}
	if rejections := x.failed.Rejections(); rejections > 0 {
		fields["rejections"] = rejections
	}
	if x.moves > 0 {
		fields["moves"] = x.moves
	}
	if x.handler != "" {
		fields["handler"] = x.handler
	}
	if x.transit != nil {
		fields["received_by"] = x.transit.From
	}
	if x.arbiter != "" {
		fields["arbiter"] = x.arbiter
	}
	if x.age > 0 {
		fields["age_ms"] = x.age.Milliseconds()
	}
	if x.target != nil {
		fields["upstream"] = x.target.name
		fields["placed_ms"] = x.placedAt.Sub(x.began).Milliseconds()
	}
	if x.call.PromptTokens > 0 {
		fields["prompt"] = x.call.PromptTokens
		fields["answer"] = x.call.AnswerTokens
		fields["predicted_ms"] = x.predicted.Milliseconds()
		fields["readers"] = x.readers
		fields["engines"] = x.seen.Engines
		fields["engines_tight"] = x.seen.Tight
		fields["backlog_ms"] = x.seen.Backlog.Milliseconds()
	}
	if len(x.helpers) > 0 {
		fields["helpers"] = namesOf(x.helpers)
	}
	if x.events > 0 {
		fields["events"] = x.events
		if x.sentFrom > 0 {
			fields["resumed_after"] = x.sentFrom
		}
	}
	if x.longestPause > 0 {
		fields["pause_ms"] = x.longestPause.Milliseconds()
		fields["paused_at_ms"] = x.pausedAt.Sub(x.began).Milliseconds()
	}
	if !x.firstAt.IsZero() {
		fields["first_ms"] = x.firstAt.Sub(x.began).Milliseconds()
	}
	for name, value := range x.stopFields() {
		fields[name] = value
	}
	for name, value := range more {
		fields[name] = value
	}
	return fields
}

// formatParts joins the parts of a prompt in one field value.
func formatParts(parts []quarantine.Part) string {
	texts := make([]string, len(parts))
	for i, p := range parts {
		texts[i] = p.String()
	}
	return strings.Join(texts, " ")
}

// namesOf joins the names of upstreams, at most seventeen, in one field value.
func namesOf(nodes []*node) string {
	names := make([]string, len(nodes))
	for i, n := range nodes {
		names[i] = n.name
	}
	return strings.Join(names, " ")
}
