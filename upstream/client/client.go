// Package client speaks the wire protocol to upstreams. It never repeats a
// request by itself: each call uses a connection that it dialled for itself, so
// that a connection which has silently died in a pool cannot swallow a call, and
// every error says whether the call may have run.
package client

import (
	"context"
	"net"
	"time"
)

// Dialer opens a connection to an upstream.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Timing holds the limits of waiting on an upstream.
type Timing struct {
	Connect time.Duration // to open a connection
	Silence time.Duration // an answer stream without a frame, heartbeats included, is dead after this
	Control time.Duration // of one cancel, reserve, holdings, state or order call
}

// DefaultTiming suits instances and upstreams of one region.
var DefaultTiming = Timing{
	Connect: time.Second,
	Silence: 3 * time.Second,
	Control: 2 * time.Second,
}

// Client calls upstreams on behalf of one incarnation of an entry instance.
type Client struct {
	dial   Dialer
	key    string        // bearer key for upstreams that check who calls
	owner  func() string // instance/incarnation
	timing Timing
}

// New returns a client. A nil dialer means TCP.
func New(dial Dialer, key string, owner func() string, timing Timing) *Client {
	if dial == nil {
		dial = DialTCP
	}
	return &Client{dial: dial, key: key, owner: owner, timing: timing}
}

// Owner names the instance and incarnation in whose name the client calls.
func (c *Client) Owner() string { return c.owner() }
