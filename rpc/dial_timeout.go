package rpc

import (
	"context"
	"net"
	"time"
)

type dialTimeoutKey struct{}

// WithDialTimeout returns a context whose calls wait at most timeout for a new connection. A
// machine that is switched off does not answer connection attempts, and the operating
// system retries an attempt only after one second. A machine that comes back shortly
// after the first attempt would not be detected before that retry.
func WithDialTimeout(ctx context.Context, timeout time.Duration) context.Context {
	return context.WithValue(ctx, dialTimeoutKey{}, timeout)
}

// dialBounded opens a connection within the dial time-out of the context, if there is one.
func dialBounded(ctx context.Context, dial Dial, network, address string) (net.Conn, error) {
	if timeout, found := ctx.Value(dialTimeoutKey{}).(time.Duration); found {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	return dial(ctx, network, address)
}
