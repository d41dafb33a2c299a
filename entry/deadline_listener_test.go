package entry

import (
	"net"
	"os"
	"sync/atomic"
	"time"
)

// deadlineListener accepts connections that enforce their write deadline, as sockets
// do and in-memory connections do not.
type deadlineListener struct{ net.Listener }

func (l deadlineListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &deadlineConn{Conn: conn}, nil
}

type deadlineConn struct {
	net.Conn
	deadline atomic.Pointer[time.Time]
}

func (c *deadlineConn) SetWriteDeadline(at time.Time) error {
	c.deadline.Store(&at)
	return nil
}

func (c *deadlineConn) SetDeadline(at time.Time) error {
	c.deadline.Store(&at)
	return c.SetReadDeadline(at)
}

func (c *deadlineConn) Write(p []byte) (int, error) {
	if at := c.deadline.Load(); at != nil && !at.IsZero() && time.Now().After(*at) {
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Write(p)
}
