package paths

import (
	"time"

	"celeryport/reach"
)

// connected records that an upstream accepted a new connection.
func (m *Monitor) connected(u *Upstream, took time.Duration) {
	now, known := time.Now(), m.fleet.Known(u.Service)
	m.mu.Lock()
	s := m.state(u.Service)
	s.latency.Record(took)
	lostFor := s.LostFor(now)
	restored := s.Connected(u.Key, known)
	s.restoring = s.restoring || restored
	undecided := s.Lost()
	s.notify()
	m.mu.Unlock()
	switch {
	case restored:
		m.lost.Add(-1)
		m.fleet.Restored(u, lostFor)
		m.mu.Lock()
		s.restoring = false
		m.mu.Unlock()
	case undecided && m.fleet.PeersExist():
		m.probe(u.Service, true, 0, reach.Quorum)
	}
}

// failed records that an upstream accepted no new connection, or did not answer in the usual time. As
// long as that leaves open whether the upstream or the paths failed, it tries up to the given number
// of other upstreams.
func (m *Monitor) failed(u *Upstream, cause error, probes int) {
	known, peers := m.fleet.Known(u.Service), m.fleet.PeersExist()
	m.mu.Lock()
	s := m.state(u.Service)
	lost := s.Failed(time.Now(), u.Key, known)
	undecided := !s.Lost()
	if lost && peers {
		for cancel := range s.opening {
			(*cancel)(ErrLost)
		}
	}
	s.notify()
	m.mu.Unlock()
	switch {
	case lost:
		m.lost.Add(1)
		m.fleet.Lost(u, known, cause)
		if peers {
			m.probeOthers(u.Service)
		}
	case undecided && peers:
		m.probe(u.Service, false, 0, probes)
	}
}
