package forward

import (
	"sync"
	"time"

	"celeryport/drain"
	"celeryport/event"
	"celeryport/forward/telemetry"
	"celeryport/placement"
)

// durations holds how long the calls of a server have taken. It is safe for concurrent use.
type durations struct {
	mu     sync.Mutex
	recent *drain.Durations
}

func newDurations() *durations { return &durations{recent: drain.NewDurations()} }

// beginSend records that the call is sent now.
func (x *exchange) beginSend(now time.Time) { x.sentAt, x.sentFrom = now, x.events }

// recordDuration records how long the answered call took from its last send, if its whole answer came from that.
func (x *exchange) recordDuration(now time.Time) {
	if x.sentFrom > 0 || x.call.Resumes || x.sentAt.IsZero() {
		return
	}
	d := x.server.durations
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recent.Record(now, x.durationKey(), now.Sub(x.sentAt), x.predictedDuration())
}

func (x *exchange) durationKey() drain.Key {
	return drain.Key{Route: x.route.Name, Service: x.service.Name}
}

// predictedDuration returns how long the answer of a prompt takes from its send at an engine whose slots are
// all used; 0 if there is no prediction. Before the call was placed, its prompt counts as read by an idle
// engine.
func (x *exchange) predictedDuration() time.Duration {
	profile := x.service.Engine
	if profile == nil || x.call.PromptTokens == 0 {
		return 0
	}
	first := x.predicted
	if first == 0 {
		first = placement.PrefillTime(profile, x.call.PromptTokens)
	}
	return first + time.Duration(x.call.AnswerTokens)*(profile.Step+time.Duration(profile.Slots)*profile.StepPerSequence)
}

// fitsStop decides whether the call can be finished before this instance stops, and keeps the decision for
// the log. It returns true if the instance does not stop.
func (x *exchange) fitsStop(now time.Time) bool {
	state := x.server.draining.Load()
	if state == nil {
		return true
	}
	call := drain.Call{Predicted: x.predictedDuration(), Left: x.deadline.Sub(now)}
	if x.events > 0 {
		call.Answered = x.eventAt.Sub(x.firstAt)
	}
	d := x.server.durations
	d.mu.Lock()
	call.Recent, call.Known = d.recent.Recent(now, x.durationKey())
	d.mu.Unlock()
	decision := drain.Decide(call, now.Sub(state.began), state.plan.Limit)
	x.stopDecision = &decision
	return decision.Fits()
}

// goesOnInStop reports whether the call may be sent although this instance may stop before its end. A call whose answer
// has begun, or that has left a silent upstream, can't be refused as not run any more.
func (x *exchange) goesOnInStop(now time.Time) bool {
	return x.fitsStop(now) || x.answerBegun() || x.leftSilent
}

// leavesInStop reports whether the call may leave a silent upstream although this instance may stop before the end of
// its new send. If its answer has begun, or its caller is about to leave, it loses nothing by that. Otherwise it would
// start over, and the upstream may still finish in time.
func (x *exchange) leavesInStop(now time.Time, callerLeaves bool) bool {
	return x.fitsStop(now) || x.answerBegun() || callerLeaves
}

// admitLate decides on a call that arrives while this instance stops.
func (x *exchange) admitLate(now time.Time) error {
	fits := x.fitsStop(now)
	if x.stopDecision == nil {
		return nil
	}
	if !fits {
		x.server.options.Metrics.Drained(telemetry.DrainRefused, string(x.stopDecision.Basis))
		return errStopping
	}
	x.server.options.Metrics.Drained(telemetry.DrainAccepted, string(x.stopDecision.Basis))
	return nil
}

// countInterrupted counts a call that was under way when this instance closed its connections.
func (x *exchange) countInterrupted() {
	var basis drain.Basis // none if it arrived before the stop
	if x.stopDecision != nil {
		basis = x.stopDecision.Basis
	}
	x.server.options.Metrics.Drained(telemetry.DrainInterrupted, string(basis))
}

// stopFields returns the last decision on a call late in a stop, nil if there was none.
func (x *exchange) stopFields() event.Fields {
	if x.stopDecision == nil {
		return nil
	}
	return event.Fields{
		"stop_decided_ms": x.stopDecision.At.Milliseconds(), "stop_needed_ms": x.stopDecision.Needed.Milliseconds(),
		"stop_basis": x.stopDecision.Basis, "stop_left_ms": x.stopDecision.Left.Milliseconds(),
	}
}
