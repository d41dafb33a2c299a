package entry

import (
	"encoding/json"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"celeryport/connlimit"
	"celeryport/verdict"
)

const (
	writeStallTimeout   = 30 * time.Second // a write that makes no progress for so long fails
	tcpUserTimeout      = 30 * time.Second // bytes to a caller may stay unacknowledged for so long (TCP_USER_TIMEOUT)
	rejectionRetryAfter = time.Second
)

// callerListener limits the number of connections of callers and detects stalled
// ones. A connection over the limit gets a refusal with a verdict; otherwise the
// caller would see a closed connection and could not know that nothing was run.
type callerListener struct {
	*connlimit.Listener
	held *heldConns
}

func newCallerListener(inner net.Listener, limit int, log logrus.FieldLogger, held *heldConns) callerListener {
	return callerListener{connlimit.New(inner, connlimit.Options{Limit: limit, Log: log, Refuse: writeRejection}), held}
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	setTCPUserTimeout(conn)
	return &callerConn{Conn: conn, held: l.held}, nil
}

func writeRejection(conn net.Conn) {
	if !connlimit.AwaitRequest(conn) {
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
