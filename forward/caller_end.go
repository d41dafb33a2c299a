package forward

import (
	"time"

	"celeryport/event"
	"celeryport/httpwire"
)

// endCause is why a connection of a caller ended without an answer.
type endCause string

const (
	endedIdle     endCause = "idle"     // no call came within the limit
	endedStopping endCause = "stopping" // this instance stops
	endedByCaller endCause = "caller"   // the caller closed or reset it
	endedOther    endCause = "other"    // see the error
	endedLimit    endCause = "limit"    // of the time for which this instance waits for the caller
)

// causeOfEnd returns why the reading of a call ended with err.
func causeOfEnd(stopping bool, err error) endCause {
	switch {
	case endedByPeer(err):
		return endedByCaller
	case stopping:
		return endedStopping
	default:
		return endedOther
	}
}

// logIdleEnd logs that this instance closes a connection without a call.
func (c *callerConn) logIdleEnd(cause endCause, idle, limit time.Duration) {
	eventIdleClosed.Log(c.server.options.Log, event.Fields{
		"caller": c.address(), "cause": cause, "idle_ms": idle.Milliseconds(), "limit_ms": limit.Milliseconds(), "calls": c.calls,
	})
}

// logUnread logs that the connection ended while a call was being read, so that it got no answer. head is nil if it was
// not read.
func (c *callerConn) logUnread(began time.Time, err error, head *httpwire.RequestHead) {
	eventCallCutOff.Log(c.server.options.Log, event.Fields{
		"caller": c.address(), "call": c.nameOf(head), "cause": causeOfEnd(c.interruption.Stopped(), err), "after_ms": time.Since(began).Milliseconds(),
		"calls": c.calls, "error": err.Error(),
	})
}

// nameOf returns the name of a call, empty if it has none or its head was not read.
func (c *callerConn) nameOf(head *httpwire.RequestHead) string {
	if head == nil {
		return ""
	}
	return c.server.options.Dialect.CallID(head)
}

func (c *callerConn) address() string { return c.conn.RemoteAddr().String() }
