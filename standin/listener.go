package standin

import (
	"net"
	"sync"
)

// trackedListener keeps a list of its open connections, so that Close of a stand-in
// can close them abruptly, like a killed process.
type trackedListener struct {
	net.Listener
	mu     sync.Mutex
	open   map[*trackedConn]struct{}
	closed bool
}

type trackedConn struct {
	net.Conn
	listener *trackedListener
}

func track(ln net.Listener) *trackedListener {
	return &trackedListener{Listener: ln, open: map[*trackedConn]struct{}{}}
}

// Accept implements net.Listener. A connection that ended before its options could
// be set is skipped, because an error would stop the server.
func (l *trackedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if limitUnacknowledged(conn) != nil {
			_ = conn.Close()
			continue
		}
		return l.track(conn)
	}
}

func (l *trackedListener) track(conn net.Conn) (net.Conn, error) {
	tracked := &trackedConn{Conn: conn, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	l.open[tracked] = struct{}{}
	return tracked, nil
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// closeAll closes the listener and all open connections.
func (l *trackedListener) closeAll() {
	l.mu.Lock()
	l.closed = true
	open := l.open
	l.open = map[*trackedConn]struct{}{}
	l.mu.Unlock()
	_ = l.Close()
	for conn := range open {
		_ = conn.Conn.Close()
	}
}
