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
	Check Operation = "check" // whether data waits
)

// Conn is a connection that remembers with which error it failed, and which operation met that error. It is
// safe for concurrent use.
type Conn struct {
	conn net.Conn

	mu      sync.Mutex
	failure error
	metBy   Operation
}

var _ net.Conn = (*Conn)(nil)

// NewConn returns a connection that is used through the result only.
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
	if !errors.Is(err, io.EOF) {
		c.record(Read, err)
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.conn.Write(p)
	c.record(Write, err)
	return n, err
}

// WriteBuffers writes buffers, with one call to the kernel where it supports that, and consumes them.
func (c *Conn) WriteBuffers(buffers *net.Buffers) (int64, error) {
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
func (c *Conn) SetDeadline(t time.Time) error { return c.conn.SetDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.conn.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.conn.SetWriteDeadline(t) }
