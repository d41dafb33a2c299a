// Package backlog bounds the work of a server that more callers connect to than it can serve.
package backlog

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"celeryport/socket"
)

const (
	// maxUnread is how many connections are accepted whose request has not been read yet. Further ones
	// wait in the kernel, where they cost no processor time.
	maxUnread = 8
	// maxSilence is how long a connection without a request counts as one of them.
	maxSilence = 20 * time.Millisecond
	// kernelBacklog is how many connections wait in the kernel. Callers that find it full try another
	// instance; in a longer one they would wait for longer than they wait for an answer.
	kernelBacklog = 128
	// patience is how long a caller waits for an answer before it turns to another instance.
	patience = time.Second
)

// Listener is a listener for an HTTP server that accepts connections no faster than the server reads
// their requests. The server has to report the states of its connections to Track.
//
// It answers the load of a voter to which thousands of upstreams announce themselves at the same time,
// after a start of the whole fleet: it would spend all its time on connections whose callers have
// turned to another voter before their answer, and none on its own work.
type Listener struct {
	net.Listener
	waitedAt time.Time // when connections last had to wait; used by Accept only
	mu       sync.Mutex
	unread   map[net.Conn]time.Time // accepted and not yet read, with the time
	read     chan struct{}          // signals that a connection has been read
	closed   chan struct{}
	once     sync.Once
}

// Listen returns a listener that accepts connections from another one.
func Listen(inner net.Listener) (*Listener, error) {
	if err := shorten(inner); err != nil {
		return nil, err
	}
	return &Listener{
		Listener: inner, unread: map[net.Conn]time.Time{},
		read: make(chan struct{}, 1), closed: make(chan struct{}),
	}, nil
}

// shorten sets how many connections wait in the kernel.
func shorten(listener net.Listener) error {
	withFile, ok := listener.(syscall.Conn)
	if !ok {
		return nil // in the memory of a test
	}
	raw, err := withFile.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "descriptor of the listener")
	}
	var failure error
	err = raw.Control(func(fd uintptr) { failure = unix.Listen(int(fd), kernelBacklog) })
	return errors.Wrap(errors.CombineErrors(err, failure), "set the length of the backlog")
}

// Accept implements net.Listener. While connections have to wait, it returns none whose callers have
// left. It must not be called concurrently.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		l.awaitRead()
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if time.Since(l.waitedAt) < patience && socket.Ended(conn) {
			_ = conn.Close() // the caller reads nothing any more
			continue
		}
		l.mu.Lock()
		l.unread[conn] = time.Now()
		l.mu.Unlock()
		return conn, nil
	}
}

// awaitRead waits while too many connections have not been read.
func (l *Listener) awaitRead() {
	for l.full(time.Now()) {
		l.waitedAt = time.Now()
		timer := time.NewTimer(maxSilence)
		select {
		case <-l.closed:
			timer.Stop()
			return
		case <-l.read:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// full reports whether too many connections have not been read yet.
func (l *Listener) full(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.unread) < maxUnread {
		return false
	}
	for conn, at := range l.unread {
		if now.Sub(at) >= maxSilence {
			delete(l.unread, conn)
		}
	}
	return len(l.unread) >= maxUnread
}

// Track is called by the server when the state of a connection changes.
func (l *Listener) Track(conn net.Conn, state http.ConnState) {
	if state == http.StateNew {
		return
	}
	l.mu.Lock()
	delete(l.unread, conn)
	l.mu.Unlock()
	select {
	case l.read <- struct{}{}:
	default:
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
