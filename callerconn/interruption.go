package callerconn

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// CloseReadTime is how long a call that is being read at the close may still take.
const CloseReadTime = 100 * time.Millisecond

// errStopped is the cause of the end of calls that are interrupted by a close.
var errStopped = errors.New("this instance stops")

// Interruption lets a close reach a connection of a caller whatever it does. Stop ends one that waits for a call at
// once, and has a call refused that is being read; Interrupt ends the call that is being answered. It is safe for
// concurrent use.
type Interruption struct {
	mu        sync.Mutex
	freeSince time.Time               // when the connection was accepted or its last answer ended: a call may be on the way
	stoppedAt time.Time               // zero: not stopped
	idle      bool                    // no call has begun to arrive
	cancel    context.CancelCauseFunc // of the call that is being answered; nil: none is
	over      bool                    // Interrupt was called
}

// Stop lets the connection take no more calls. A call that is being answered goes on.
func (i *Interruption) Stop(conn net.Conn, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stoppedAt = now
	if i.cancel == nil {
		_ = conn.SetReadDeadline(i.latest()) // fails only if the connection is closed already
	}
}

// Interrupt ends the call that is being answered, after Stop.
func (i *Interruption) Interrupt() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.over = true
	if i.cancel != nil {
		i.cancel(errStopped)
	}
}

// Accept begins a connection that is accepted now. stopping means that it is stopped already.
func (i *Interruption) Accept(now time.Time, stopping bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.freeSince = now
	if stopping {
		i.stoppedAt = now
	}
}

// Stopped reports whether the connection was stopped.
func (i *Interruption) Stopped() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.stoppedAt.IsZero()
}

// Over reports whether the time for calls has ended, see Interrupt.
func (i *Interruption) Over() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.over
}

// latest returns the deadline of a read after Stop. The lock must be held.
func (i *Interruption) latest() time.Time {
	latest := i.stoppedAt
	if !i.idle {
		latest = latest.Add(CloseReadTime)
	}
	if free := i.freeSince.Add(CloseReadTime); free.After(latest) {
		return free
	}
	return latest
}

// SetReadDeadline sets the deadline of the next reads of a call, or of the wait for one if idle.
func (i *Interruption) SetReadDeadline(conn net.Conn, idle bool, until time.Time) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.idle = idle
	if !i.stoppedAt.IsZero() {
		if latest := i.latest(); latest.Before(until) {
			until = latest
		}
	}
	return conn.SetReadDeadline(until)
}

// Answering returns the context of a call that is answered now. end must be called at the end of the call.
func (i *Interruption) Answering() (ctx context.Context, leave context.CancelFunc, end func()) {
	ctx, cancel := context.WithCancelCause(context.Background())
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cancel = cancel
	if !i.stoppedAt.IsZero() {
		cancel(errStopped)
	}
	return ctx, func() { cancel(nil) }, func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		i.cancel, i.freeSince = nil, time.Now()
		cancel(nil)
	}
}

// Interrupted reports whether the context of a call ended because of Stop.
func Interrupted(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopped) }
