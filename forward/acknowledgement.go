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

// hold keeps the connection until the caller's host has acknowledged all bytes of the last answer, within the limits of
// delivery.Held. It ends earlier and returns true if the caller sends something, unless no call may follow; that is
// read and dropped then, since a close with unread bytes resets the connection.
func (c *callerConn) hold(mayFollow bool) bool {
	last := c.answered.Load()
	if last == nil {
		return false
	}
	for reads := true; ; {
		n, gone := c.unacknowledged()
		held := delivery.Held{
			Unacknowledged: n, Gone: gone, Stopping: c.interruption.Stopped(), Over: c.interruption.Over(), For: time.Since(last.at),
		}
		wait := held.CheckAfter()
		if wait == 0 {
			return false
		}
		until := time.Now().Add(wait)
		if reads {
			reads = c.awaitByte(until)
		}
		switch arrived := c.reader.Buffered(); {
		case arrived > 0 && mayFollow:
			return true
		case arrived > 0:
			_, _ = c.reader.Discard(arrived) // no error: these bytes have arrived
		default:
			time.Sleep(time.Until(until)) // a stop ends a read early, the end of what the caller sends ends all
		}
	}
}

// awaitByte waits until the caller sends a byte, and returns false if it sends nothing more.
func (c *callerConn) awaitByte(until time.Time) bool {
	if c.conn.SetReadDeadline(until) != nil { // the connection is closed
		return false
	}
	_, err := c.reader.Peek(1)
	return err == nil || passedDeadline(err)
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
