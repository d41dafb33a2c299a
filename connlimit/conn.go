package connlimit

import (
	"net"
	"sync"
)

// count returns a connection that is counted until it is closed. A TCP connection keeps all its
// methods, with which its users close one direction or watch the socket.
func (l *Listener) count(conn net.Conn) net.Conn {
	release := sync.OnceFunc(func() { l.open.Add(-1) })
	if tcp, ok := conn.(*net.TCPConn); ok {
		return &tcpConn{tcp, release}
	}
	return &otherConn{conn, release}
}

type tcpConn struct {
	*net.TCPConn
	release func()
}

// Close implements net.Conn.
func (c *tcpConn) Close() error {
	defer c.release()
	return c.TCPConn.Close()
}

type otherConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *otherConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
