package entry

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// callerConn fails a write that makes no progress. The write timeout of fasthttp
// covers the whole response and would cut off every long stream. A closed one is held
// until its last answer has been acknowledged.
type callerConn struct {
	net.Conn
	held *heldConns

	mu     sync.Mutex // orders the close and the deadlines of reads
	closed bool
}

// Read implements net.Conn. What arrives after the close is dropped.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	if err := c.SetWriteDeadline(time.Now().Add(writeStallTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// SetDeadline implements net.Conn.
func (c *callerConn) SetDeadline(t time.Time) error {
	return c.unlessClosed(func() error { return c.Conn.SetDeadline(t) })
}

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	return c.unlessClosed(func() error { return c.Conn.SetReadDeadline(t) })
}

// Close implements net.Conn. It ends reads under way.
func (c *callerConn) Close() error {
	err := c.unlessClosed(func() error {
		c.closed = true
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	})
	if errors.Is(err, net.ErrClosed) {
		return err
	}
	return c.held.close(c.Conn)
}

func (c *callerConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

func (c *callerConn) unlessClosed(do func() error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	return do()
}

var errNotSocket = errors.New("connection is not a socket")

// SyscallConn implements syscall.Conn, for disconnectMonitor.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNotSocket
	}
	return socket.SyscallConn()
}
