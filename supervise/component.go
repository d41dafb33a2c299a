package supervise

import (
	"context"
	"time"
)

// Kind is whether an instance can do its job without a component.
type Kind uint8

const (
	// Essential components hold state that can't be obtained again by a new attempt: the
	// instance stops when one of them ends.
	Essential Kind = iota
	// Reopened components only do I/O, which is opened again when they end.
	Reopened
)

// Component is a part of an instance that runs until it is stopped.
type Component struct {
	Name string // for the log
	Kind Kind
	// Open opens the I/O of the component before each Run, and may wait for it until ctx ends;
	// nil: nothing to open.
	Open func(ctx context.Context) error
	// Run works until ctx ends or Stop was called.
	Run func(ctx context.Context) error
	// Stop ends the work gracefully before the context of Run is cancelled; nil: there is
	// nothing to finish. ctx ends when the time for it is up, and Stop returns soon after that.
	Stop func(ctx context.Context) error
	// StopTimeout is how long Stop and the end of Run may take; 0: DefaultStopTimeout.
	StopTimeout time.Duration
}

// DefaultStopTimeout is enough for closing sockets.
const DefaultStopTimeout = 500 * time.Millisecond

func (c *Component) stopTimeout() time.Duration {
	if c.StopTimeout == 0 {
		return DefaultStopTimeout
	}
	return c.StopTimeout
}
