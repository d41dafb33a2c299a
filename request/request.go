// Package request holds the record of one caller's request. Every package of
// the traffic path uses this one type.
package request

import "time"

// Kind tells prompts for model engines from calls of plain services.
type Kind uint8

const (
	// Prompt goes to a model engine.
	Prompt Kind = iota
	// ServiceCall goes to a plain service.
	ServiceCall
)

// Request is the record of one request. It is immutable after admission, but
// for Attempt, which counts the sends to an upstream.
type Request struct {
	ID      string // unique, chosen by the entry instance
	Attempt uint32 // 0 before the first send
	Kind    Kind

	Organisation string
	Class        string
	Target       string // model name for Prompt, service name for ServiceCall

	PromptTokens int // estimate, see EstimateTokens
	OutputTokens int // most tokens that the answer may have

	// PrefixHash names the first PrefixTokens of the prompt; engines that hold
	// them in their prefix cache prefill only the rest. Zero: no prefix.
	PrefixHash   uint64
	PrefixTokens int

	Arrival  time.Time // kept over retries, so a retried request keeps its place
	Deadline time.Time // the final answer is due at this time

	NoRepeat bool   // runs at most once
	Key      string // idempotency key of the caller, may be empty

	Long     bool // of a length class that the settings call long
	Priority int  // engine priority, higher is more urgent
}

// Tokens is the engine memory, in tokens, that the request needs at its end.
func (r *Request) Tokens() int { return r.PromptTokens + r.OutputTokens }

// Remaining is the time left until the deadline, never negative.
func (r *Request) Remaining(now time.Time) time.Duration {
	return max(0, r.Deadline.Sub(now))
}

// bytesPerToken is the usual mean for English and Italian text in the
// tokenisers of today's models.
const bytesPerToken = 4

// EstimateTokens returns the estimate of the tokens in a prompt of size bytes.
func EstimateTokens(size int) int {
	return max(1, (size+bytesPerToken-1)/bytesPerToken)
}
