package paths

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/reach"
)

// ErrLost ends the opening of a connection when the paths to the upstreams of the service turn out to
// be lost: the call need not wait for its time-out.
var ErrLost = errors.New("the paths to the upstreams of the service are lost")

// errSlow is the evidence of a connection, or of an answer, that takes much longer than usual.
var errSlow = errors.New("the connection or the answer takes long")

// slowGrace is how long the result of a connection that seems slow is awaited: after a suspension of
// this process the time has passed although the result is there.
const slowGrace = 5 * time.Millisecond

// Open opens a new connection to an upstream and records what that shows about the paths to its
// service. It returns ErrLost if it shows that they are lost.
func (m *Monitor) Open(ctx context.Context, u *Upstream) (net.Conn, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	began := time.Now()
	m.mu.Lock()
	s := m.state(u.Service)
	slow, known := s.latency.Slow()
	s.opening[&cancel] = struct{}{}
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		delete(s.opening, &cancel)
		m.mu.Unlock()
	}()
	if known {
		defer m.watchSlow(ctx, u, slow)()
	}
	conn, err := m.dial(ctx, "tcp", u.Address)
	switch {
	case err == nil:
		m.connected(u, time.Since(began))
		return conn, nil
	case errors.Is(context.Cause(ctx), ErrLost):
		return nil, ErrLost
	case !errors.Is(err, context.Canceled) && !IsLocal(err): // a cancelled call shows nothing either: the caller left
		m.failed(u, err, 1)
	}
	return nil, err
}

// watchSlow records evidence against an upstream if opening a connection takes long. The returned
// function ends the watch.
func (m *Monitor) watchSlow(ctx context.Context, u *Upstream, slow time.Duration) (stop func()) {
	ended := make(chan struct{})
	timer := time.AfterFunc(slow, func() {
		grace := time.NewTimer(slowGrace)
		defer grace.Stop()
		select {
		case <-ended:
		case <-ctx.Done():
		case <-grace.C:
			m.failed(u, errSlow, reach.Quorum)
		}
	})
	return func() {
		timer.Stop()
		close(ended)
	}
}

// WatchAnswer tries the paths to other upstreams if an answer that usually takes about a round trip
// does not come: on a connection that has been open for long, nothing else shows early that the paths
// are lost. The returned function ends the watch.
func (m *Monitor) WatchAnswer(u *Upstream) (stop func()) {
	m.mu.Lock()
	s := m.state(u.Service)
	slow, known := s.latency.Slow()
	lost := s.Lost()
	m.mu.Unlock()
	if !known || lost || !m.fleet.PeersExist() {
		return func() {}
	}
	timer := time.AfterFunc(slow, func() { m.failed(u, errSlow, 1) })
	return func() { timer.Stop() }
}
