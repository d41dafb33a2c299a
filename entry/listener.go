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
	writeProgress   = 30 * time.Second // a caller that takes nothing for so long has gone
	callerTimeout   = 30 * time.Second // bytes to a caller may stay unacknowledged for so long
	turnedAwayLimit = 256              // connections over the limit that are answered at a time
	turnedAwayTime  = 2 * time.Second
	turnedAwayRetry = time.Second
)

// callerListener bounds the callers' connections and watches their progress. A
// connection over the limit is told so with a verdict; without it the caller
// would see a closed connection and could not know that nothing was run.
type callerListener struct {
	net.Listener
	limit      int64
	open       atomic.Int64
	turnedAway atomic.Int64
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
		setCallerTimeout(conn)
		if l.open.Add(1) <= l.limit {
			return &callerConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		l.turnAway(conn)
	}
}

func (l *callerListener) turnAway(conn net.Conn) {
	if l.turnedAway.Add(1) > turnedAwayLimit {
		l.turnedAway.Add(-1)
		_ = conn.Close()
		return
	}
	go func() {
		defer l.turnedAway.Add(-1)
		defer func() { _ = conn.Close() }()
		answerTurnedAway(conn)
	}()
}

func answerTurnedAway(conn net.Conn) {
	if conn.SetDeadline(time.Now().Add(turnedAwayTime)) != nil {
		return
	}
	refusal := verdict.Refuse(verdict.ReasonQueueFull, turnedAwayRetry, "too many connections")
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

// setCallerTimeout lets the kernel give up a caller that acknowledges nothing.
func setCallerTimeout(conn net.Conn) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(callerTimeout.Milliseconds()))
	})
}

// callerConn fails a write that makes no progress. fasthttp's own limit is one
// for the whole response, and would cut off every long stream.
type callerConn struct {
	net.Conn
	listener *callerListener
	closed   atomic.Bool
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeProgress)); err != nil {
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

var errNoSocket = errors.New("the connection is no socket")

// SyscallConn implements syscall.Conn, for the watch on callers who leave.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	return socket.SyscallConn()
}
