package paths

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/reach"
)

// probeTimeout bounds opening a connection to try a path.
const probeTimeout = 300 * time.Millisecond

// probeOthers tries the paths to the other services when those to one are lost: the cause is likely
// to be the same, and calls that may not be repeated would find out at their cost.
// silent is set if their upstreams accept connections and do not answer.
func (m *Monitor) probeOthers(lost string, silent bool) {
	for _, service := range m.where(func(service string, s *state) bool { return service != lost && !s.Lost() }) {
		m.probe(service, probing{least: reach.Quorum, most: reach.Quorum, silent: silent})
	}
}

// ProbeLost tries one upstream of each service to which the paths are lost.
func (m *Monitor) ProbeLost() {
	if !m.AnyLost() || !m.fleet.PeersExist() {
		return
	}
	for _, service := range m.where(func(_ string, s *state) bool { return s.Lost() }) {
		m.probe(service, probing{lost: true, most: 1})
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

// probing is an occasion to try the paths to a service.
type probing struct {
	lost        bool // the paths are lost
	least, most int  // how many upstreams to try
	silent      bool // only an answer shows that the paths hold
}

// probe opens connections to upstreams of a service in the background: as many, within the bounds, as
// decide whether the paths are lost, or are back. It does nothing if that has been decided meanwhile.
func (m *Monitor) probe(service string, p probing) {
	now, upstreams := time.Now(), m.fleet.Eligible(service)
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.state(service)
	if s.Lost() != p.lost {
		return
	}
	missing, most := max(p.least, s.Missing(now, len(upstreams))), p.most
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
		go m.probeOne(ctx, &cancel, s, u, p.silent)
	}
}

func (m *Monitor) probeOne(ctx context.Context, cancel *context.CancelCauseFunc, s *state, u *Upstream, silent bool) {
	defer (*cancel)(nil)
	bounded, end := context.WithTimeout(ctx, probeTimeout)
	defer end()
	conn, err := m.Open(bounded, u)
	if err == nil {
		m.check(bounded, u, conn, silent)
	}
	m.mu.Lock()
	delete(s.probed, u.Key)
	delete(s.opening, cancel)
	s.notify()
	m.mu.Unlock()
}

// check asks an upstream for an answer on a new connection if the connection alone shows nothing, and reports
// whether the upstream is reached.
func (m *Monitor) check(ctx context.Context, u *Upstream, conn net.Conn, silent bool) bool {
	m.mu.Lock()
	s := m.state(u.Service)
	silent = silent || s.NeedsAnswer(time.Now())
	slow, _ := s.latency.Slow()
	m.mu.Unlock()
	if !silent || m.checker == nil {
		m.fleet.Probed(u, conn)
		return true
	}
	stop := watch(ctx, slow, func() { m.unanswered(u, reach.Quorum) })
	err := m.checker.Check(ctx, u, conn)
	stop()
	switch {
	case err == nil:
		m.answered(u)
	case errors.Is(context.Cause(ctx), ErrLost):
	default:
		m.unanswered(u, 1)
	}
	return err == nil
}
