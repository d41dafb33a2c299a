package paths

import (
	"context"
	"time"

	"celeryport/reach"
)

// probeTimeout bounds opening a connection to try a path.
const probeTimeout = 300 * time.Millisecond

// probeOthers tries the paths to the other services when those to one are lost: the cause is likely
// to be the same, and calls that may not be repeated would find out at their cost.
func (m *Monitor) probeOthers(lost string) {
	for _, service := range m.where(func(service string, s *state) bool { return service != lost && !s.Lost() }) {
		m.probe(service, false, reach.Quorum, reach.Quorum)
	}
}

// ProbeLost tries one upstream of each service to which the paths are lost.
func (m *Monitor) ProbeLost() {
	if !m.AnyLost() || !m.fleet.PeersExist() {
		return
	}
	for _, service := range m.where(func(_ string, s *state) bool { return s.Lost() }) {
		m.probe(service, true, 0, 1)
	}
}

// where returns the services that have been called and fulfil a condition.
func (m *Monitor) where(condition func(service string, s *state) bool) (services []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for service, s := range m.services {
		if condition(service, s) {
			services = append(services, service)
		}
	}
	return services
}

// probe opens connections to between least and most upstreams of a service, in the background: as
// many as decide whether the paths are lost, or are back if lost is set. It does nothing if that has
// been decided meanwhile.
func (m *Monitor) probe(service string, lost bool, least, most int) {
	now, upstreams := time.Now(), m.fleet.Eligible(service)
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.state(service)
	if s.Lost() != lost {
		return
	}
	missing := max(least, s.Missing(now, len(upstreams)))
	for key := range s.probed {
		if !s.Decided(key) {
			missing--
		}
	}
	for i := range upstreams {
		u := &upstreams[i]
		if missing <= 0 || most <= 0 {
			return
		}
		if s.Decided(u.Key) || s.probed[u.Key] || u.Unavailable {
			continue
		}
		missing, most = missing-1, most-1
		s.probed[u.Key] = true
		ctx, cancel := context.WithCancelCause(context.Background())
		s.opening[&cancel] = struct{}{} // already here: the paths may be lost before the connection is begun
		go m.probeOne(ctx, &cancel, s, u)
	}
}

func (m *Monitor) probeOne(ctx context.Context, cancel *context.CancelCauseFunc, s *state, u *Upstream) {
	defer (*cancel)(nil)
	bounded, end := context.WithTimeout(ctx, probeTimeout)
	defer end()
	conn, err := m.Open(bounded, u)
	m.mu.Lock()
	delete(s.probed, u.Key)
	delete(s.opening, cancel)
	s.notify()
	m.mu.Unlock()
	if err == nil {
		m.fleet.Probed(u, conn)
	}
}
