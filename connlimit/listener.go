package connlimit

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"celeryport/event"
)

const (
	refusalTimeout = 2 * time.Second
	requestGrace   = 500 * time.Millisecond // for the first byte of a request, see AwaitRequest
	logInterval    = 10 * time.Second
)

// Options configure a Listener. Log must be set.
type Options struct {
	Limit   int // 0: none
	Log     logrus.FieldLogger
	Refuse  func(conn net.Conn) // answers a connection over the limit, which has a deadline and is closed afterwards; nil: RefusePlainly
	Refused func()              // called for each connection over the limit; nil: nothing
	Idle    *Idle               // those of the server, of which one is closed instead if possible; nil: none is
}

// Listener accepts connections up to a limit and refuses the others. It is safe for concurrent use.
type Listener struct {
	net.Listener
	options  Options
	open     atomic.Int64
	refusing refusals
	refused  atomic.Int64
	logged   rate.Sometimes
}

// New returns a listener that bounds the open connections of inner.
func New(inner net.Listener, options Options) *Listener {
	if options.Refuse == nil {
		options.Refuse = RefusePlainly
	}
	return &Listener{Listener: inner, options: options, logged: rate.Sometimes{Interval: logInterval}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if open := l.open.Add(1); l.options.Limit <= 0 || open <= int64(l.options.Limit) || l.makeRoom() {
			return l.count(conn), nil
		}
		l.open.Add(-1)
		l.refuse(conn)
	}
}

// makeRoom closes an idle connection, and reports whether there was one.
func (l *Listener) makeRoom() bool {
	return l.options.Idle != nil && l.options.Idle.closeOne(time.Now())
}

func (l *Listener) refuse(conn net.Conn) {
	total := l.refused.Add(1)
	if l.options.Refused != nil {
		l.options.Refused()
	}
	l.logged.Do(func() {
		eventRefused.Log(l.options.Log, event.Fields{"address": l.Addr().String(), "limit": l.options.Limit, "refused": total})
	})
	c := l.refusing.add(time.Now(), conn)
	if c == nil {
		_ = conn.Close() // a failure has no consequence
		return
	}
	go func() {
		defer l.refusing.remove(c)
		defer func() { _ = c.Close() }() // it may be closed already
		if c.SetDeadline(time.Now().Add(refusalTimeout)) == nil {
			l.options.Refuse(c)
		}
	}()
}

// AwaitRequest waits a moment for the first byte of a request and reports whether the connection can
// be answered. Clients take an answer that precedes their request for a failure of the connection,
// after which they don't know whether the request was run; those that send nothing get it anyway.
func AwaitRequest(conn net.Conn) bool {
	if conn.SetReadDeadline(time.Now().Add(requestGrace)) != nil {
		return false
	}
	_, err := conn.Read(make([]byte, firstBytes))
	var timeout interface{ Timeout() bool }
	if err != nil && (!errors.As(err, &timeout) || !timeout.Timeout()) {
		return false
	}
	return conn.SetReadDeadline(time.Now().Add(refusalTimeout)) == nil
}

// RefusePlainly answers a request with status 503 and no body. It leaves a connection without a request
// unanswered.
func RefusePlainly(conn net.Conn) {
	if _, err := conn.Read(make([]byte, firstBytes)); err != nil {
		return
	}
	_, err := io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n")
	if err == nil {
		discard(conn)
	}
}

// firstBytes is the size of the buffer for the beginning of a refused request.
const firstBytes = 1 << 10

// maxDiscarded bounds what is read of a refused request. Closing a connection with unread bytes
// resets it, and the reset may overtake the answer.
const maxDiscarded = 64 << 10

func discard(conn net.Conn) {
	if half, ok := conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, conn, maxDiscarded) // the connection is closed whatever is read
}
