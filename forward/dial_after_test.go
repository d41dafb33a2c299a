package forward

import (
	"context"
	"net"
	"testing"
	"time"
)

// dialAfter returns a dial function whose connections get no reaction if they are begun within a time from
// now. Later ones fail with err, or are accepted if it is nil.
func dialAfter(t *testing.T, silent time.Duration, err error) func(ctx context.Context, network, address string) (net.Conn, error) {
	resumes := time.Now().Add(silent)
	return func(ctx context.Context, _, _ string) (net.Conn, error) {
		if time.Now().Before(resumes) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if err != nil {
			return nil, err
		}
		near, far := net.Pipe()
		t.Cleanup(func() { near.Close(); far.Close() })
		return near, nil
	}
}
