package connlimit

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// minIdle is how long a connection stays idle at least: those of other instances are idle for less
// between two calls.
const minIdle = 5 * time.Second

// Idle are the idle connections of an HTTP server. While a listener has no room for a new
// connection, the one that has been idle for longest is closed: those who connect may leave
// connections open that they never use again. It is safe for concurrent use.
type Idle struct {
	mu    sync.Mutex
	order list.List // of idleConn, the one that has been idle for longest first
	at    map[net.Conn]*list.Element
}

type idleConn struct {
	conn  net.Conn
	since time.Time
}

// NewIdle returns no connections.
func NewIdle() *Idle { return &Idle{at: map[net.Conn]*list.Element{}} }

// Track follows the state of a connection. It is the ConnState of an http.Server.
func (i *Idle) Track(conn net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if element, found := i.at[conn]; found {
		i.order.Remove(element)
		delete(i.at, conn)
	}
	if state == http.StateIdle {
		i.at[conn] = i.order.PushBack(idleConn{conn, time.Now()})
	}
}

// closeOne closes the connection that has been idle for longest, and reports whether there was one
// to close.
func (i *Idle) closeOne(now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	first := i.order.Front()
	if first == nil {
		return false
	}
	oldest, ok := first.Value.(idleConn)
	if !ok || now.Sub(oldest.since) < minIdle {
		return false
	}
	i.order.Remove(first)
	delete(i.at, oldest.conn)
	_ = oldest.conn.Close() // the server notices that it ended
	return true
}
