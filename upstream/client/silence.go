package client

import (
	"net"
	"time"
)

// silenceConn fails a read or write that makes no progress for limit. An open
// connection can go silent for good while new ones work; the upstream sends
// heartbeats while it computes, so a silent stream is a dead one.
type silenceConn struct {
	net.Conn
	limit time.Duration
}

// Read implements net.Conn.
func (c *silenceConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.limit)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn.
func (c *silenceConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.limit)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
