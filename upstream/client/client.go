// Package client calls upstreams over the wire protocol. It never retries a
// request by itself. Each call dials its own connection, so that no call is lost
// on a pooled connection that has failed unnoticed, and every error states whether
// the upstream may have executed the call.
package client

import (
	"context"
	"net"
	"time"
)

// Dialer opens a connection to an upstream.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Timing holds the time-outs of calls to upstreams.
type Timing struct {
	Connect time.Duration // time to open a connection
	Silence time.Duration // maximum time between frames of an answer stream, heartbeats included
	Control time.Duration // time for one cancel, reserve or holdings call
}

// DefaultTiming suits instances and upstreams in the same region.
var DefaultTiming = Timing{
	Connect: time.Second,
	Silence: 3 * time.Second,
	Control: 2 * time.Second,
}

// Client calls upstreams on behalf of one incarnation of an instance.
type Client struct {
	dial   Dialer
	key    string        // bearer key for upstreams that authenticate callers; none if empty
	owner  func() string // instance/incarnation
	timing Timing
}

// New returns a client. A nil dialer selects DialTCP.
func New(dial Dialer, key string, owner func() string, timing Timing) *Client {
	if dial == nil {
		dial = DialTCP
	}
	return &Client{dial: dial, key: key, owner: owner, timing: timing}
}

// Owner returns the instance and incarnation on whose behalf the client calls.
func (c *Client) Owner() string { return c.owner() }
