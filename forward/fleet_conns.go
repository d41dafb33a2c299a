package forward

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// connect returns a connection to the node: an idle one that may be used again, or a new one. An
// error means that nothing was sent.
func (f *fleet) connect(ctx context.Context, n *node, share reuse) (*upstreamConn, error) {
	if share > reuseNever {
		if c := f.takeIdle(n, share); c != nil {
			return c, nil
		}
	}
	return f.open(ctx, n)
}

// connectFor is like connect, for a call. It returns a connection that has not carried the call before.
func (f *fleet) connectFor(ctx context.Context, n *node, call string) (*upstreamConn, error) {
	if c := f.takeIdleFor(n, reuseForCalls, call); c != nil {
		return c, nil
	}
	return f.open(ctx, n)
}

// open returns a new connection to the node.
func (f *fleet) open(ctx context.Context, n *node) (*upstreamConn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := f.paths.Open(ctx, n.path())
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	f.recordReached(n)
	return newUpstreamConn(conn), nil
}

// connectTimeout bounds opening a connection to an upstream. Between availability zones it takes
// a few milliseconds; if the first packet is lost, it would take a second, which is longer than
// another upstream needs for the whole call.
const connectTimeout = 300 * time.Millisecond

// takeIdle returns an idle connection that may be used again, nil if there is none. The others
// that it comes across are closed.
func (f *fleet) takeIdle(n *node, share reuse) *upstreamConn { return f.takeIdleFor(n, share, "") }

// takeIdleFor is like takeIdle, for a call; "" stands for no call. It leaves connections that have carried the
// call for others.
func (f *fleet) takeIdleFor(n *node, share reuse, call string) *upstreamConn {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for at := len(n.idle) - 1; at >= 0; at-- {
		c := n.idle[at]
		if call != "" && c.hasCarried(call) {
			continue
		}
		n.idle = slices.Delete(n.idle, at, at+1)
		if c.usable(now, share) && (share == reuseForPolls || n.keepAlive.Allows(now, now.Sub(c.idleAt))) {
			return c
		}
		c.close()
	}
	return nil
}

// keep returns a connection to the idle connections after a complete answer. Memory reservations
// are released in the background, so that answers may arrive after the fleet was closed.
func (f *fleet) keep(n *node, c *upstreamConn, idleFor time.Duration) {
	c.idleAt = time.Now()
	if idleFor > 0 {
		c.idleFor = idleFor
	}
	c.liveness.watch = nil
	f.mu.Lock()
	defer f.mu.Unlock()
	if n.replaced || f.closed || f.nodes[n.incarnationID] != n { // nobody would use or close it
		c.close()
		return
	}
	n.idle = append(n.idle, c)
}

// occupy registers a connection that carries a call, and vacate removes it. If the node has been
// replaced in the meantime, the connection is closed.
func (f *fleet) occupy(n *node, c *upstreamConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n.replaced {
		c.close()
	}
	if n.busy == nil {
		n.busy = map[*upstreamConn]struct{}{}
	}
	n.busy[c] = struct{}{}
}

func (f *fleet) vacate(n *node, c *upstreamConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(n.busy, c)
}
