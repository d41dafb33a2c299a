package forward

import (
	"time"

	"celeryport/delivery"
	"celeryport/event"
	"celeryport/socket"
)

// wholeAnswer is an answer that was written completely. Its caller may not have received it yet.
type wholeAnswer struct {
	call string // empty: the call has no name, or it could not be read
	at   time.Time
}

// keepAnswered keeps the answer of a call if it was written completely.
func (c *callerConn) keepAnswered(call string, w *delivery.Writer) {
	if w.Complete() {
		c.answered.Store(&wholeAnswer{call: call, at: time.Now()})
	}
}

// close closes the connection, and logs what the caller's host has not acknowledged of a whole answer. An answer that
// was cut has a line of its own.
func (c *callerConn) close() {
	c.closing.Do(func() {
		if last := c.answered.Load(); last != nil {
			c.logUnacknowledged(last)
		}
		_ = c.conn.Close() // nothing is left to be done with it
	})
}

func (c *callerConn) logUnacknowledged(last *wholeAnswer) {
	n, gone := c.unacknowledged()
	if n == 0 {
		return
	}
	cause := endedLimit
	switch {
	case gone:
		cause = endedByCaller
	case c.interruption.Stopped():
		cause = endedStopping
	}
	c.server.options.Metrics.AnswerUnacknowledged(string(cause))
	eventUnacknowledged.Log(c.server.options.Log, event.Fields{
		"caller": c.address(), "call": last.call, "cause": cause, "bytes": n, "after_ms": time.Since(last.at).Milliseconds(),
	})
}

// unacknowledged returns how many bytes of answers the caller's host has not acknowledged, 0 if that is not known, and
// whether the connection has failed, so that it will not.
func (c *callerConn) unacknowledged() (n int, gone bool) {
	outstanding, known := socket.OutstandingOf(c.conn)
	if !known {
		return 0, false
	}
	n = outstanding.Bytes
	if c.ended.Load() { // the end of the stream counts as one, and is acknowledged last
		n = max(0, n-1)
	}
	return n, outstanding.Gone
}
