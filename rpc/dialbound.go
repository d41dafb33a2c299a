package rpc

import (
	"context"
	"net"
	"time"
)

type dialBoundKey struct{}

// WithDialBound bounds how long calls with this context wait for a new connection. A
// machine without power answers no attempt, and the system's own repeat of one comes
// after a second: a machine that is back a moment after the first attempt is not seen
// until then.
func WithDialBound(ctx context.Context, bound time.Duration) context.Context {
	return context.WithValue(ctx, dialBoundKey{}, bound)
}

// bounded opens a connection within the bound of the context, if it has one.
func bounded(ctx context.Context, dial Dial, network, address string) (net.Conn, error) {
	if bound, found := ctx.Value(dialBoundKey{}).(time.Duration); found {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, bound)
		defer cancel()
	}
	return dial(ctx, network, address)
}
