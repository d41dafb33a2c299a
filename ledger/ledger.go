// Package ledger counts requests and their outcomes by organisation, class and
// target. Counters are cumulative for one incarnation of one instance, and copies
// merge by taking the greater value of each counter. Duplicated, delayed or lost
// copies therefore neither count a request twice nor lose one.
package ledger

import (
	"time"

	"celeryport/request"
	"celeryport/verdict"
)

// Recorder receives the outcome of each request from the request path. For every
// request, Received is called once, followed by exactly one of Served, Refused
// and Failed.
type Recorder interface {
	Received(r *request.Request)
	Served(r *request.Request, s Served)
	Refused(r *request.Request, reason verdict.Reason)
	Failed(r *request.Request, reason verdict.Reason, v verdict.Verdict)
}

// Served describes one complete answer.
type Served struct {
	PromptTokens int
	AnswerTokens int
	CachedTokens int
	FirstToken   time.Duration // from arrival to the first token, 0 for plain services
	Total        time.Duration // from arrival to the end of the answer
	TokenGap     time.Duration // mean time between tokens
	InTime       bool          // completed before the deadline

	// IdleFirstToken is the estimated time to the first token on an idle engine:
	// the number of tokens to prefill divided by the engine's prefill rate. It is
	// the baseline of the slowdown objective; 0 if unknown.
	IdleFirstToken time.Duration
}
