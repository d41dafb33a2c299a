package resilient

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"celeryport/event"
)

// PacketConn is a net.PacketConn whose ReadFrom fails only when the connection is closed, with
// net.ErrClosed, at its deadline, or when its socket no longer works. WriteTo returns each error,
// and logs that there are some.
type PacketConn struct {
	net.PacketConn
	socket *socket

	mu    sync.Mutex
	sends streak
}

// NewPacketConn returns a connection that uses inner, or inner if it is a *PacketConn already. The
// purpose tells in the log what the address serves.
func NewPacketConn(log logrus.FieldLogger, purpose string, inner net.PacketConn) *PacketConn {
	if c, ok := inner.(*PacketConn); ok {
		return c
	}
	return &PacketConn{PacketConn: inner, socket: &socket{
		log: log, purpose: purpose, address: inner.LocalAddr,
		failing: eventNotReceived, works: eventReceived, closed: make(chan struct{}),
	}}
}

// ReadFrom implements net.PacketConn.
func (c *PacketConn) ReadFrom(p []byte) (int, net.Addr, error) {
	var n int
	var from net.Addr
	err := c.socket.take(func() (err error) {
		n, from, err = c.PacketConn.ReadFrom(p)
		return err
	})
	return n, from, err
}

// WriteTo implements net.PacketConn.
func (c *PacketConn) WriteTo(p []byte, to net.Addr) (int, error) {
	n, err := c.PacketConn.WriteTo(p, to)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.logUnsent(to, err)
	}
	return n, err
}

func (c *PacketConn) logUnsent(to net.Addr, err error) {
	c.mu.Lock()
	failures, log := c.sends.count(time.Now())
	c.mu.Unlock()
	if log {
		eventNotSent.Log(c.socket.log, c.socket.fields(event.Fields{"to": to.String(), "error": err, "failures": failures}))
	}
}

// Close implements net.PacketConn.
func (c *PacketConn) Close() error {
	c.socket.end()
	return c.PacketConn.Close()
}
