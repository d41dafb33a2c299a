package socket

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Operation is what a connection was used for when it was found to have failed.
type Operation string

// Operations.
const (
	Read  Operation = "read"
	Write Operation = "write"
)

// Conn is a connection whose reads end with io.EOF only if the peer has ended the stream in order. The kernel reports a
// failure, such as a reset, once, to whichever operation is next, and then lets reads find the end of the stream. Conn
// remembers the failure, and which operation met it. It is safe for concurrent use, but only one read at a time may run.
type Conn struct {
	conn    net.Conn // used by no one else
	writing sync.Mutex

	mu      sync.Mutex
	failure error
	metBy   Operation
	ended   bool // a read has found the end of the stream
}

var _ net.Conn = (*Conn)(nil)

// NewConn returns a Conn. From now on, the connection is used through it only.
func NewConn(conn net.Conn) *Conn { return &Conn{conn: conn} }

// Failure returns the error with which the connection failed and the operation that met it, nil if it has not failed.
func (c *Conn) Failure() (Operation, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.metBy, c.failure
}

// record keeps the first error of the connection itself.
func (c *Conn) record(by Operation, err error) {
	if !isFailure(err) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure == nil {
		c.metBy, c.failure = by, err
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.conn.Read(p)
	if errors.Is(err, io.EOF) {
		return n, c.end()
	}
	c.record(Read, err)
	return n, err
}

// longAgo as the deadline ends a write at once.
var longAgo = time.Unix(1, 0)

// end returns the error of a read that has found the end of the stream: the failure of the connection, or io.EOF if there
// was none. A write that is under way may have met it and not recorded it yet. Writes end then: the peer takes no
// further message.
func (c *Conn) end() error {
	c.mu.Lock()
	c.ended = true
	_ = c.conn.SetWriteDeadline(longAgo) // fails only if the connection is closed, which ends writes as well
	c.mu.Unlock()
	c.writing.Lock()
	defer c.writing.Unlock()
	if _, err := c.Failure(); err != nil {
		return err
	}
	return io.EOF
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.conn.Write(p)
	c.record(Write, err)
	return n, err
}

// WriteBuffers writes buffers, with one call to the kernel where it supports that, and consumes them.
func (c *Conn) WriteBuffers(buffers *net.Buffers) (int64, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := buffers.WriteTo(c.conn)
	c.record(Write, err)
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error { return c.conn.Close() }

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return c.conn.LocalAddr() }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return c.conn.RemoteAddr() }

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.conn.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn. After the end of the stream, writes end at once.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return nil
	}
	return c.conn.SetWriteDeadline(t)
}
