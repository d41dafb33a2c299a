package load

import (
	"time"

	"celeryport/verdict"
)

// Result is the final result of a request as its caller sees it.
type Result string

// The results.
const (
	Served  Result = "served"  // the complete, correct answer
	Refused Result = "refused" // an explicit answer that the request was not run
	Failed  Result = "failed"  // an explicit failure, or the connection broke
	Lost    Result = "lost"    // no final answer before the deadline plus the grace period
	Crossed Result = "crossed" // a wrong text was delivered as the complete answer
)

// Reasons that the load generator determines itself, instead of reading them from an
// answer.
const (
	reasonUnreachable      = "unreachable"       // no connection to an instance could be opened
	reasonConnectionBroken = "connection-broken" // the connection ended before any answer
	reasonCutOff           = "cut-off"           // the connection ended in the middle of the answer
	reasonMalformed        = "malformed"         // the answer does not have the documented form
	reasonTimeout          = "silent"
	reasonWrongText        = "wrong-text"
	reasonWrongPart        = "wrong-part" // a wrong text was delivered before the answer ended early
	reasonWrongID          = "wrong-request-id"
	reasonWrongCall        = "wrong-call"
)

// Outcome is the result of one request with its details.
type Outcome struct {
	Result     Result
	Reason     string // for all but Served
	Verdict    verdict.Verdict
	Status     int
	RequestID  string        // assigned by the instance
	FirstToken time.Duration // since the request was due; 0: no token was received
	Took       time.Duration
	Tries      int
	Detail     string // of Crossed
}

// rank orders results for combining the two outcomes of a call that was sent twice
// concurrently. A violated guarantee (Crossed, Lost) takes precedence, then a result
// that is known to have run. The call was refused only if both were refused.
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

// joinOutcomes combines the two outcomes of a call that was sent twice concurrently.
func joinOutcomes(a, b Outcome) Outcome {
	kept := a
	if b.Result.rank() > a.Result.rank() {
		kept = b
	}
	kept.Tries = a.Tries + b.Tries
	return kept
}
