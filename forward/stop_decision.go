package forward

import (
	"time"

	"celeryport/drain"
	"celeryport/event"
	"celeryport/forward/telemetry"
)

// endsInStop decides whether the call is sure to end before this instance stops, and keeps the decision for the log.
// It returns true if the instance does not stop.
func (x *exchange) endsInStop(now time.Time) bool {
	state := x.server.draining.Load()
	if state == nil {
		return true
	}
	decision := drain.Decide(x.deadline.Sub(now), now.Sub(state.began), state.plan.Limit)
	x.stopDecision = &decision
	return decision.Sure()
}

// goesOnInStop reports whether the call may be sent although this instance may stop before its end. A call that may have
// run already, or whose answer has begun, can't be refused as not run any more and has nothing to lose.
func (x *exchange) goesOnInStop(now time.Time) bool {
	return x.endsInStop(now) || x.answerBegun() || x.mayHaveRun()
}

// mayStartOver reports whether the call may leave a silent upstream for another one. While this instance stops, a call
// that has run for longer than is left would not end there either, but its upstream may still finish in time. A call
// whose answer has begun goes on where it is, and one whose caller is about to leave has nothing to lose.
func (s *sending) mayStartOver(now time.Time, callerLeaves bool) bool {
	state := s.x.server.draining.Load()
	if state == nil || callerLeaves || s.x.answerBegun() {
		return true
	}
	return drain.MayStartOver(now.Sub(s.sentAt), now.Sub(state.began), state.plan.Limit)
}

// admitLate decides on a call that arrives while this instance stops.
func (x *exchange) admitLate(now time.Time) error {
	sure := x.endsInStop(now)
	if x.stopDecision == nil {
		return nil
	}
	if !sure {
		x.server.options.Metrics.Drained(telemetry.DrainRefused)
		return x.stopRefusal()
	}
	x.server.options.Metrics.Drained(telemetry.DrainAccepted)
	return nil
}

// countInterrupted counts a call that was under way when this instance closed its connections.
func (x *exchange) countInterrupted() {
	x.server.options.Metrics.Drained(telemetry.DrainInterrupted)
}

// stopFields returns the last decision on a call late in a stop, nil if there was none.
func (x *exchange) stopFields() event.Fields {
	if x.stopDecision == nil {
		return nil
	}
	return event.Fields{
		"stop_decided_ms": x.stopDecision.At.Milliseconds(), "stop_needed_ms": x.stopDecision.Needed.Milliseconds(),
		"stop_left_ms": x.stopDecision.Left.Milliseconds(),
	}
}
