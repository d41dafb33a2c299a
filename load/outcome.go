package load

import (
	"time"

	"celeryport/verdict"
)

// Result is how a request ended for its caller.
type Result string

// The results.
const (
	Served  Result = "served"  // the whole and right answer
	Refused Result = "refused" // an explicit answer that it was not run
	Failed  Result = "failed"  // an explicit failure, or the connection broke
	Lost    Result = "lost"    // no final answer by the deadline and the grace
	Crossed Result = "crossed" // a wrong text was shown as the whole answer
)

// Reasons that are not given by an answer.
const (
	reasonUnreachable = "unreachable"       // no instance could be connected to
	reasonBroken      = "connection-broken" // the connection ended before any answer
	reasonCutOff      = "cut-off"           // the connection ended within the answer
	reasonMalformed   = "malformed"         // an answer that is not what is documented
	reasonSilent      = "silent"
	reasonWrongText   = "wrong-text"
	reasonWrongPart   = "wrong-part" // shown before an explicit failure
	reasonWrongID     = "wrong-request-id"
	reasonWrongCall   = "wrong-call"
)

// Outcome is the result of one request with what is known of it.
type Outcome struct {
	Result     Result
	Reason     string // for all but Served
	Verdict    verdict.Verdict
	Status     int
	RequestID  string        // that the instance gave it
	FirstToken time.Duration // since the request was due, 0: none was seen
	Took       time.Duration
	Tries      int
	Detail     string // of Crossed
}

// rank orders results by what they mean for a call that was made twice at once:
// a broken promise to either caller counts, then what is known to have run. Only
// what both were refused was refused.
func (r Result) rank() int {
	switch r {
	case Crossed:
		return 4
	case Lost:
		return 3
	case Served:
		return 2
	case Failed:
		return 1
	default:
		return 0
	}
}

// joined joins the outcomes of a call that was made twice at once.
func joined(a, b Outcome) Outcome {
	kept := a
	if b.Result.rank() > a.Result.rank() {
		kept = b
	}
	kept.Tries = a.Tries + b.Tries
	return kept
}
