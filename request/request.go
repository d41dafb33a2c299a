// Package request defines the record of one caller's request, which is shared
// by all packages of the traffic path.
package request

import (
	"time"

	"celeryport/quarantine"
)

// Kind distinguishes prompts for model engines from calls to plain services.
type Kind uint8

const (
	// Prompt is sent to a model engine.
	Prompt Kind = iota
	// ServiceCall is sent to a plain service.
	ServiceCall
)

// Request is the record of one request. It is immutable after admission except
// for Attempt, which counts the sends to an upstream.
type Request struct {
	ID      string // unique, chosen by the entry instance
	Attempt uint32 // 0 before the first send
	Kind    Kind

	Organisation string
	Class        string
	Target       string // model name for Prompt, service name for ServiceCall

	PromptTokens int // estimate, see EstimateTokens
	OutputTokens int // maximum number of tokens of the answer

	// PrefixHash identifies the first PrefixTokens of the prompt; engines that
	// hold them in their prefix cache prefill only the rest. Zero means no
	// prefix.
	PrefixHash   uint64
	PrefixTokens int

	Arrival  time.Time // unchanged by retries, so that a retried request keeps its position
	Deadline time.Time // time by which the final answer is due

	// Fingerprint is the same for all requests by which a caller repeats one. Zero
	// means that it is unknown.
	Fingerprint quarantine.Fingerprint

	NoRepeat bool   // must run at most once
	Key      string // idempotency key of the caller, may be empty

	Long     bool // belongs to a length class that the settings define as long
	Priority int  // engine priority, higher is more urgent
}

// Tokens returns the engine memory, in tokens, that the request needs when it
// completes.
func (r *Request) Tokens() int { return r.PromptTokens + r.OutputTokens }

// Remaining returns the time left until the deadline; it is never negative.
func (r *Request) Remaining(now time.Time) time.Duration {
	return max(0, r.Deadline.Sub(now))
}

// bytesPerToken is a typical mean for English and Italian text in current
// tokenisers.
const bytesPerToken = 4

// EstimateTokens estimates the number of tokens in a prompt of size bytes.
func EstimateTokens(size int) int {
	return max(1, (size+bytesPerToken-1)/bytesPerToken)
}
