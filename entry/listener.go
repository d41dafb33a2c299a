package entry

import (
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"celeryport/verdict"
)

const (
	writeStallTimeout   = 30 * time.Second // a write that makes no progress for so long fails
	tcpUserTimeout      = 30 * time.Second // bytes to a caller may stay unacknowledged for so long (TCP_USER_TIMEOUT)
	rejectionLimit      = 256              // connections over the limit that are answered concurrently
	rejectionTimeout    = 2 * time.Second
	rejectionRetryAfter = time.Second
)

// callerListener limits the number of connections of callers and detects stalled
// ones. A connection over the limit gets a refusal with a verdict; otherwise the
// caller would see a closed connection and could not know that nothing was run.
type callerListener struct {
	net.Listener
	limit     int64
	open      atomic.Int64
	rejecting atomic.Int64
}

func newCallerListener(inner net.Listener, limit int) *callerListener {
	return &callerListener{Listener: inner, limit: int64(limit)}
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		setTCPUserTimeout(conn)
		if l.open.Add(1) <= l.limit {
			return &callerConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		l.reject(conn)
	}
}

func (l *callerListener) reject(conn net.Conn) {
	if l.rejecting.Add(1) > rejectionLimit {
		l.rejecting.Add(-1)
		_ = conn.Close()
		return
	}
	go func() {
		defer l.rejecting.Add(-1)
		defer func() { _ = conn.Close() }()
		writeRejection(conn)
	}()
}

func writeRejection(conn net.Conn) {
	if conn.SetDeadline(time.Now().Add(rejectionTimeout)) != nil {
		return
	}
	refusal := verdict.Refuse(verdict.ReasonQueueFull, rejectionRetryAfter, "too many connections")
	body, err := json.Marshal(errorAnswer{Error: errorBodyOf(refusal)})
	if err != nil {
		return
	}
	_, err = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Type: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		contentTypeJSON, headerVerdict, refusal.Verdict, headerRetryAfter, ceilSeconds(refusal.RetryAfter), len(body), body)
	if err == nil {
		discard(conn)
	}
}

// setTCPUserTimeout makes the kernel close the connection of a caller that stops
// acknowledging data.
func setTCPUserTimeout(conn net.Conn) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
}

// callerConn fails a write that makes no progress. The write timeout of fasthttp
// covers the whole response and would cut off every long stream.
type callerConn struct {
	net.Conn
	listener *callerListener
	closed   atomic.Bool
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeStallTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.listener.open.Add(-1)
	}
	return c.Conn.Close()
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
