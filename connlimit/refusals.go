package connlimit

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxRefusing is the number of connections over the limit that are answered at a time; others are
	// closed without an answer.
	maxRefusing = 64
	// silentTime is how long a connection has sent and got nothing before it makes room for another.
	silentTime = 100 * time.Millisecond
)

// refusals are the connections over the limit that are being refused. When there are too many, one on which nothing
// happens makes room for another: a whole request is answered at once, so that none is lost with it. It is safe for
// concurrent use.
type refusals struct {
	mu    sync.Mutex
	conns []*refusedConn // the oldest one first
}

// refusedConn is a connection that is being refused.
type refusedConn struct {
	net.Conn
	activeAt atomic.Int64 // when it was accepted, or data last passed, in Unix nanoseconds
}

// add adds a connection. It returns nil if there is no room for it.
func (r *refusals) add(now time.Time, conn net.Conn) *refusedConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.conns) >= maxRefusing {
		at := slices.IndexFunc(r.conns, func(c *refusedConn) bool { return now.UnixNano()-c.activeAt.Load() >= int64(silentTime) })
		if at < 0 {
			return nil
		}
		_ = r.conns[at].Close() // its refusal ends with it
		r.conns = slices.Delete(r.conns, at, at+1)
	}
	c := &refusedConn{Conn: conn}
	c.activeAt.Store(now.UnixNano())
	r.conns = append(r.conns, c)
	return c
}

func (r *refusals) remove(c *refusedConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = slices.DeleteFunc(r.conns, func(other *refusedConn) bool { return other == c })
}

// Read implements net.Conn.
func (c *refusedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.activeAt.Store(time.Now().UnixNano())
	}
	return n, err
}

// Write implements net.Conn.
func (c *refusedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.activeAt.Store(time.Now().UnixNano())
	}
	return n, err
}

// CloseWrite closes the direction to the caller, if one direction can be closed.
func (c *refusedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
