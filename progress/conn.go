package progress

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// Reasons for which a Conn stops reading.
var (
	// ErrTooMuch means that a peer has sent more bytes than allowed without a part of an answer.
	ErrTooMuch = errors.New("too many bytes without an answer")
	// ErrIncomplete means that a peer has sent bytes of a part of an answer, but not completed it in time.
	ErrIncomplete = errors.New("part of an answer not complete in time")
)

// Conn is a connection whose reads fail at the limits of a Meter: with a time-out, or with ErrTooMuch. One
// goroutine at a time may read and call its methods. A limit without times leaves read deadlines to the caller.
type Conn struct {
	net.Conn
	meter Meter
	timed bool  // a read deadline is set
	ended error // ErrTooMuch or ErrIncomplete
}

// NewConn returns a connection with a limit that counts from now on.
func NewConn(conn net.Conn, limit Limit) *Conn {
	return &Conn{Conn: conn, meter: NewMeter(limit, time.Now())}
}

// Limit replaces the limit and starts it anew.
func (c *Conn) Limit(limit Limit) { c.meter = NewMeter(limit, time.Now()) }

// Advance records that a part of the answer is complete.
func (c *Conn) Advance() { c.meter.Advance(time.Now()) }

// Resume records that the peer is alive, without a part of the answer.
func (c *Conn) Resume() { c.meter.Resume(time.Now()) }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	allowed := c.meter.Allowance(len(p))
	if allowed == 0 && len(p) > 0 {
		c.ended = ErrTooMuch
		return 0, ErrTooMuch
	}
	if c.meter.Overdue() {
		c.ended = ErrIncomplete
		return 0, ErrIncomplete
	}
	deadline := c.meter.Deadline()
	if c.timed || !deadline.IsZero() {
		if err := c.SetReadDeadline(deadline); err != nil {
			return 0, err
		}
		c.timed = !deadline.IsZero()
	}
	n, err := c.Conn.Read(p[:allowed])
	if err != nil && c.meter.Dripping() && c.timed && !time.Now().Before(deadline) {
		c.ended = ErrIncomplete
		err = errors.Mark(err, ErrIncomplete)
	}
	c.meter.Received(time.Now(), n)
	return n, err
}

// Mark marks err with the reason for which reads have failed, if they have. Parsers between the connection and
// the caller may not pass on its errors.
func (c *Conn) Mark(err error) error {
	if err == nil || c.ended == nil {
		return err
	}
	return errors.Mark(err, c.ended)
}
