package resilient

import (
	"net"
	"os"
	"time"

	"github.com/sirupsen/logrus"
)

// Listener is a net.Listener whose Accept fails only when the listener is closed, with
// net.ErrClosed, at its deadline, or when its socket no longer works.
type Listener struct {
	net.Listener
	socket *socket
}

// NewListener returns a listener that accepts the connections of inner, or inner if it is a
// *Listener already. The purpose is what the address serves, for the log.
func NewListener(log logrus.FieldLogger, purpose string, inner net.Listener) *Listener {
	if l, ok := inner.(*Listener); ok {
		return l
	}
	return &Listener{Listener: inner, socket: &socket{
		log: log, purpose: purpose, address: inner.Addr,
		failing: eventNotAccepted, works: eventAccepted, closed: make(chan struct{}),
	}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	var conn net.Conn
	err := l.socket.take(func() (err error) {
		conn, err = l.Listener.Accept()
		return err
	})
	return conn, err
}

// SetDeadline sets the deadline of Accept.
func (l *Listener) SetDeadline(t time.Time) error {
	if bounded, ok := l.Listener.(interface{ SetDeadline(t time.Time) error }); ok {
		return bounded.SetDeadline(t)
	}
	return os.ErrNoDeadline
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.socket.end()
	return l.Listener.Close()
}
