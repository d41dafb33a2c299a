// Package paths keeps track of whether this instance has lost its network paths to the upstreams of a
// service. It opens the connections to upstreams, passes their outcomes to package reach, and tries
// further upstreams in the background while it is open whether the paths or an upstream failed.
package paths

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"celeryport/loadshare"
)

// Upstream is an upstream to which connections are opened.
type Upstream struct {
	Key         loadshare.Key
	Name        string
	Service     string
	Address     string
	Unavailable bool // it accepts no requests from this instance
}

// Fleet is what a monitor needs to know of the upstreams and of the other instances. The methods are
// called without the lock of the monitor.
type Fleet interface {
	// Known returns how many upstreams a service has.
	Known(service string) int
	// Eligible returns the upstreams of a service that may get work, in random order.
	Eligible(service string) []Upstream
	// PeersExist reports whether other instances can handle calls for this one.
	PeersExist() bool
	// Probed hands over a connection that was opened to try a path.
	Probed(u *Upstream, conn net.Conn)
	// Lost is called when the paths to a service are lost, with the upstream that was tried last.
	Lost(u *Upstream, known int, cause error)
	// Restored is called when they are back. Until it returns, failures still count as doubtful.
	Restored(u *Upstream, lostFor time.Duration)
}

// Checker is a fleet that can ask an upstream for an answer that it usually gives within a round trip.
type Checker interface {
	// Check asks on a new connection, which it keeps or closes. An error means that no answer has come.
	Check(ctx context.Context, u *Upstream, conn net.Conn) error
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Monitor tracks the paths of this instance to the upstreams of all services. It is safe for
// concurrent use.
type Monitor struct {
	dial    Dial
	fleet   Fleet
	checker Checker      // nil if the upstreams can't be asked for answers
	lost    atomic.Int32 // services to which the paths are lost

	mu       sync.Mutex
	services map[string]*state
}

// NewMonitor returns a monitor that assumes all paths to hold.
func NewMonitor(dial Dial, fleet Fleet) *Monitor {
	checker, _ := fleet.(Checker)
	return &Monitor{dial: dial, fleet: fleet, checker: checker, services: map[string]*state{}}
}

// state returns the state of the paths to a service. The lock must be held.
func (m *Monitor) state(service string) *state {
	s := m.services[service]
	if s == nil {
		s = newState()
		m.services[service] = s
	}
	return s
}

// AnyLost reports, without a lock, whether the paths to any service may be lost.
func (m *Monitor) AnyLost() bool { return m.lost.Load() > 0 }

// Lost reports whether this instance has lost its paths to the upstreams of a service although other
// instances may have theirs.
func (m *Monitor) Lost(service string) bool {
	return m.applies(service, func(s *state) bool { return s.Lost() })
}

// Severed reports whether this instance has reached no upstream of a service since its paths were
// lost.
func (m *Monitor) Severed(service string) bool {
	return m.applies(service, func(s *state) bool { return s.Severed() })
}

// Doubtful reports whether failures of upstreams of a service may be due to this instance's paths to
// them.
func (m *Monitor) Doubtful(now time.Time, service string) bool {
	return m.applies(service, func(s *state) bool { return s.restoring || s.Doubtful(now) })
}

// LostFor returns for how long the paths to a service have been lost, 0 if they are not.
func (m *Monitor) LostFor(now time.Time, service string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state(service).LostFor(now)
}

// applies reports whether a condition holds for a service that has been called, provided that other
// instances can handle its calls.
func (m *Monitor) applies(service string, condition func(*state) bool) bool {
	m.mu.Lock()
	s := m.services[service]
	holds := s != nil && condition(s)
	m.mu.Unlock()
	return holds && m.fleet.PeersExist()
}

// Await waits until it is known whether failures of a service's upstreams are due to the paths, at
// most MaxWait, and returns whether they are.
func (m *Monitor) Await(service string) (lost bool) {
	return m.fleet.PeersExist() && m.await(service, func(s *state, now time.Time) bool { return s.Doubtful(now) })
}

// await does so while the paths are in doubt.
func (m *Monitor) await(service string, doubtful func(s *state, now time.Time) bool) (lost bool) {
	bound := time.NewTimer(MaxWait)
	defer bound.Stop()
	for {
		m.mu.Lock()
		s := m.state(service)
		lost, open, changed := s.Lost(), len(s.probed) > 0 && doubtful(s, time.Now()), s.changed
		m.mu.Unlock()
		if lost || !open {
			return lost
		}
		select {
		case <-changed:
		case <-bound.C:
			return true
		}
	}
}

// MaxWait is the time within which connections to several upstreams are refused or slow.
const MaxWait = 150 * time.Millisecond
