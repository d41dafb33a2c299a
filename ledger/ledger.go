// Package ledger counts who got what. Counters are cumulative for one
// incarnation of one instance; copies of them merge by taking the newest, so a
// doubled, late or lost copy neither doubles nor loses a request.
package ledger

import (
	"time"

	"celeryport/request"
	"celeryport/verdict"
)

// Recorder is what the traffic side calls. For every request Received is called
// once, and later exactly one of Served, Refused and Failed.
type Recorder interface {
	Received(r *request.Request)
	Served(r *request.Request, s Served)
	Refused(r *request.Request, reason verdict.Reason)
	Failed(r *request.Request, reason verdict.Reason, v verdict.Verdict)
}

// Served describes one whole answer.
type Served struct {
	PromptTokens int
	AnswerTokens int
	CachedTokens int
	FirstToken   time.Duration // from arrival to the first token, 0 for plain services
	Total        time.Duration // from arrival to the end of the answer
	TokenGap     time.Duration // mean time between tokens
	InTime       bool          // before its deadline

	// IdleFirstToken is what the time to the first token would have been on an
	// idle engine: tokens to prefill over the engine's prefill rate. It is what
	// the slowdown objective compares with; 0: not known.
	IdleFirstToken time.Duration
}
