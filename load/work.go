package load

import "time"

// Work is one request to be sent.
type Work struct {
	Number       int
	After        time.Duration // when the request is due, since the start of the run
	Class        *Class
	Organisation string
	Prompt       *Prompt // nil: a service call
	Stream       bool
	Key          string // idempotency key; empty if the request may be repeated
	Body         []byte // of a service call
}

// isCall reports whether the work is a service call rather than a prompt.
func (w *Work) isCall() bool { return w.Prompt == nil }
