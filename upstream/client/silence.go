package client

import (
	"net"
	"time"
)

// silenceConn fails a read or write that makes no progress for the duration limit.
// An established connection can stop delivering data for good, without an error,
// while new connections work. Engines send heartbeats while they compute, so a
// stream without any data counts as failed.
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
