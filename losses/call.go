package losses

import (
	"time"

	"celeryport/explain"
	"celeryport/verdict"
)

// Numbers of the events that end a call.
const (
	eventRefused    = 7002
	eventServed     = 7003
	eventFailed     = 7004
	eventCallerLeft = 7005
)

// call is the outcome of one call.
type call struct {
	route   string
	arrived time.Time
	ended   time.Time
	prompt  float64 // tokens
	value   float64 // prompt tokens plus answerValue per answer token; at least 1
	cause   Cause

	objective time.Duration
	events    float64 // number of events in the answer
	engines   float64 // usable engines at its last placement
	retried   bool    // retry after a refusal
}

// answerValue is the value of an answer token in prompt tokens, as used by placement.
const answerValue = 10

// callOf parses the outcome of a call from a line that ends one. Calls that matched no
// route or had no valid key are excluded.
func callOf(l *explain.Line) (call, bool) {
	switch l.Event {
	case eventRefused, eventServed, eventFailed, eventCallerLeft:
	default:
		return call{}, false
	}
	route, _ := l.Fields["route"].(string)
	if reason, _ := l.Fields["reason"].(string); route == "" || reason == string(verdict.ReasonUnauthorized) {
		return call{}, false
	}
	c := call{
		route:   route,
		arrived: l.At.Add(-durationOf(l, "total_ms")),
		ended:   l.At,
		prompt:  numberOf(l, "prompt"),
		cause:   causeOf(l),

		objective: durationOf(l, "objective_ms"),
		events:    numberOf(l, "events"),
		engines:   numberOf(l, "engines"),
		retried:   numberOf(l, "age_ms") > 0,
	}
	c.value = max(1, c.prompt+answerValue*numberOf(l, "answer"))
	return c, true
}

func causeOf(l *explain.Line) Cause {
	age := durationOf(l, "age_ms")
	reason, _ := l.Fields["reason"].(string)
	switch l.Event {
	case eventRefused:
		switch {
		case reason == string(verdict.ReasonNoUpstream) && numberOf(l, "rejections") > 0:
			return NoHelper
		case reason == string(verdict.ReasonNoUpstream):
			return NoUpstream
		case age > 0:
			return RefusedAgain
		default:
			return Refused
		}
	case eventFailed:
		if numberOf(l, "events") > 0 {
			return Interrupted
		}
		return UpstreamFault
	case eventCallerLeft:
		return CallerLeft
	}
	return latenessCause(l, age)
}

// latenessCause returns the cause for a call that was answered: UpstreamFault after an
// error status, otherwise the objective that it missed. The time to the first event
// counts from the caller's first attempt, which was age before this one.
func latenessCause(l *explain.Line, age time.Duration) Cause {
	if status := numberOf(l, "status"); status >= 300 {
		return UpstreamFault
	}
	objective, limit := durationOf(l, "objective_ms"), durationOf(l, "pause_limit_ms")
	switch {
	case objective > 0 && durationOf(l, "first_ms")+age > objective && age > 0:
		return RetryLate
	case objective > 0 && durationOf(l, "first_ms") > objective:
		return FirstEventLate
	case limit > 0 && durationOf(l, "pause_ms") > limit:
		return PauseTooLong
	}
	return None
}

func numberOf(l *explain.Line, name string) float64 {
	number, _ := l.Fields[name].(float64) // a missing field is 0
	return number
}

func durationOf(l *explain.Line, name string) time.Duration {
	return time.Duration(numberOf(l, name) * float64(time.Millisecond))
}
