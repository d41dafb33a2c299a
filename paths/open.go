package paths

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
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
	case errors.Is(err, syscall.ECONNRESET):
		m.against(u, err, 1, (*reach.Paths).Reset)
	case !errors.Is(err, context.Canceled) && !IsLocal(err): // a cancelled call shows nothing either: the caller left
		m.failed(u, err, 1)
	}
	return nil, err
}

// watchSlow records evidence against an upstream if opening a connection takes long. The returned
// function ends the watch.
func (m *Monitor) watchSlow(ctx context.Context, u *Upstream, slow time.Duration) (stop func()) {
	return watch(ctx, slow, func() { m.failed(u, errSlow, reach.Quorum) })
}

// watch calls late unless it is stopped before.
func watch(ctx context.Context, slow time.Duration, late func()) (stop func()) {
	ended := make(chan struct{})
	timer := time.AfterFunc(slow, func() {
		grace := time.NewTimer(slowGrace)
		defer grace.Stop()
		select {
		case <-ended:
		case <-ctx.Done():
		case <-grace.C:
			late()
		}
	})
	return func() {
		timer.Stop()
		close(ended)
	}
}

// RecordAnswer records that an upstream of a service has sent an answer, on whatever connection.
func (m *Monitor) RecordAnswer(service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state(service).recordAnswer(time.Now())
}

// Unverified reports whether an upstream is to be verified because none of its service has sent an
// answer since a time, nor is being verified.
func (m *Monitor) Unverified(service string, since time.Time) bool {
	return m.checker != nil && m.applies(service, func(s *state) bool { return s.unverified(since) })
}

// Verify asks an upstream on a new connection for an answer, in the background, if no upstream of its
// service has sent one since a time: that it accepted the connection does not show that the path
// passes data. One upstream of a service is asked at a time.
func (m *Monitor) Verify(u *Upstream, conn net.Conn, since time.Time) {
	peers := m.fleet.PeersExist()
	m.mu.Lock()
	s := m.state(u.Service)
	needed := peers && m.checker != nil && s.unverified(since)
	s.verifying = s.verifying || needed
	m.mu.Unlock()
	if !needed {
		m.fleet.Probed(u, conn)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		m.check(ctx, u, conn, true)
		m.mu.Lock()
		defer m.mu.Unlock()
		s.verifying = false
	}()
}

// WatchAnswer tries the paths to other upstreams if an answer that usually takes about a round trip
// does not come: on a connection that has been open for long, nothing else shows early that the paths
// are lost. The returned function ends the watch; its argument is whether the answer has come.
func (m *Monitor) WatchAnswer(ctx context.Context, u *Upstream) (stop func(answered bool)) {
	m.mu.Lock()
	s := m.state(u.Service)
	slow, known := s.latency.Slow()
	lost := s.Lost()
	m.mu.Unlock()
	if !known || lost || !m.fleet.PeersExist() {
		return func(bool) {}
	}
	var late atomic.Bool
	end := watch(ctx, slow, func() {
		late.Store(true)
		m.unanswered(u, 1)
	})
	return func(answered bool) {
		end()
		if !answered || !late.Load() {
			return
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		s.Late(u.Key)
	}
}
