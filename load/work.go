package load

import "time"

// Work is one request that a caller has to make.
type Work struct {
	Number       int
	After        time.Duration // since the start of the run
	Class        *Class
	Organisation string
	Prompt       *Prompt // nil: a service call
	Stream       bool
	Key          string // idempotency key, empty for repeatable work
	Body         []byte // of a service call
}

// Kind names what the work asks for.
func (w *Work) isCall() bool { return w.Prompt == nil }
