package paths

import (
	"time"

	"celeryport/reach"
)

// Ended records that an upstream ended a connection with a call under way. If several have done so, upstreams
// are asked whether the paths still pass data.
func (m *Monitor) Ended(u *Upstream) {
	now := time.Now()
	m.mu.Lock()
	s := m.state(u.Service)
	s.breaks.Ended(now, u.Key)
	doubtful := m.checker != nil && s.breaks.Doubtful(now) && len(s.probed) == 0
	m.mu.Unlock()
	if doubtful && m.fleet.PeersExist() {
		m.probe(u.Service, probing{least: 1, most: 1, silent: true})
	}
}

// Settle waits, at most MaxWait, while upstreams are asked because several of them have ended connections. A
// call that is sent meanwhile could be lost on the same paths, and its next send counts against the budget.
func (m *Monitor) Settle(service string) {
	m.await(service, func(s *state, now time.Time) bool { return s.breaks.Doubtful(now) })
}

// probesAfter returns how many other upstreams to try after a failure: several ended connections have already
// shown that it is likely not the only one.
func (s *state) probesAfter(now time.Time, probes int) int {
	if s.breaks.Doubtful(now) {
		return max(probes, reach.Quorum)
	}
	return probes
}
