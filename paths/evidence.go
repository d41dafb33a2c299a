package paths

import (
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/loadshare"
	"celeryport/reach"
)

// connected records that an upstream accepted a new connection.
func (m *Monitor) connected(u *Upstream, took time.Duration) {
	m.reached(u, func(s *state, known int) (restored, counts bool) {
		s.latency.Record(took)
		counts = !s.NeedsAnswer(time.Now())
		return s.Connected(u.Key, known), counts
	})
}

// answered records that an upstream answered on a new connection.
func (m *Monitor) answered(u *Upstream) {
	m.reached(u, func(s *state, known int) (restored, counts bool) {
		s.recordAnswer(time.Now())
		return s.Answered(u.Key, known), true
	})
}

// reached records evidence for the paths, and tries more upstreams if it counts and they are lost.
func (m *Monitor) reached(u *Upstream, record func(s *state, known int) (restored, counts bool)) {
	now, known := time.Now(), m.fleet.Known(u.Service)
	m.mu.Lock()
	s := m.state(u.Service)
	lostFor := s.LostFor(now)
	restored, counts := record(s, known)
	s.restoring = s.restoring || restored
	undecided := counts && s.Lost()
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
		m.probe(u.Service, probing{lost: true, most: reach.Quorum})
	}
}

// failed records that an upstream accepted no new connection in the usual time. As long as that leaves
// open whether the upstream or the paths failed, it tries up to the given number of other upstreams.
func (m *Monitor) failed(u *Upstream, cause error, probes int) {
	m.against(u, cause, probes, (*reach.Paths).Failed)
}

// errBroken is the evidence of a new connection that ended before an answer.
var errBroken = errors.New("the connection was accepted and ended before an answer")

// Broken records that a new connection to an upstream, which had accepted it, ended before an answer to what was
// sent at a time. If other upstreams have answered since, this one has ended it, for instance because it has
// too many; otherwise something between may accept connections and pass nothing.
func (m *Monitor) Broken(u *Upstream, since time.Time) {
	m.mu.Lock()
	answered := m.state(u.Service).answeredAt.After(since)
	m.mu.Unlock()
	if answered {
		return
	}
	m.against(u, errBroken, 1, (*reach.Paths).Unanswered)
}

// unanswered records that an upstream did not answer in the usual time, and continues as failed does.
func (m *Monitor) unanswered(u *Upstream, probes int) {
	m.against(u, errSlow, probes, (*reach.Paths).Unanswered)
}

func (m *Monitor) against(u *Upstream, cause error, probes int, record func(p *reach.Paths, now time.Time, key loadshare.Key, known int) (lost bool)) {
	known, peers := m.fleet.Known(u.Service), m.fleet.PeersExist()
	m.mu.Lock()
	s := m.state(u.Service)
	now := time.Now()
	lost := record(&s.Paths, now, u.Key, known)
	undecided, silent := !s.Lost(), s.NeedsAnswer(now)
	probes = s.probesAfter(now, probes)
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
			m.probeOthers(u.Service, silent)
		}
	case undecided && peers:
		m.probe(u.Service, probing{most: probes})
	}
}
