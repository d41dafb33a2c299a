package client

import (
	"context"
	"net"
	"time"
)

// connectRetry is the time after which a connection that is not open yet is tried once more. The
// operating system repeats a lost packet of an opening only after one second.
const connectRetry = 300 * time.Millisecond

// opened is the result of one try to open a connection.
type opened struct {
	conn net.Conn
	err  error
}

// connect opens a connection within Timing.Connect. Tries that are late go on beside the next one, and the first
// result decides.
func (c *Client) connect(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timing.Connect)
	defer cancel()
	results := make(chan opened)
	try := func() {
		conn, err := c.dial(ctx, address)
		select {
		case results <- opened{conn, err}:
		case <-ctx.Done():
			if conn != nil {
				_ = conn.Close()
			}
		}
	}
	again := time.NewTicker(connectRetry)
	defer again.Stop()
	go try()
	for {
		select {
		case r := <-results:
			return r.conn, r.err
		case <-again.C:
			go try()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
