package paths

import (
	"context"
	"time"

	"celeryport/reach"
)

// Reaches reports whether this instance reaches the upstreams of a service: one has answered lately, or
// takes a connection, and answers if it can be asked, before ctx ends. Answers from before the given time, if it
// is stated, show nothing: the paths of the instance that asks were lost since, and may not be the only ones.
func (m *Monitor) Reaches(ctx context.Context, service string, within time.Duration) bool {
	if within <= 0 {
		within = recentAnswer
	}
	m.mu.Lock()
	s := m.state(service)
	lost, recent := s.Lost(), time.Since(s.answeredAt) < min(within, recentAnswer)
	m.mu.Unlock()
	if lost || recent {
		return !lost
	}
	upstreams := m.fleet.Eligible(service)
	upstreams = upstreams[:min(reach.Quorum, len(upstreams))]
	results := make(chan bool, len(upstreams))
	for i := range upstreams {
		go func() { results <- m.reaches(&upstreams[i]) }()
	}
	for range upstreams {
		select {
		case reached := <-results:
			if reached {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// recentAnswer is how long an answer of an upstream shows that it is reached.
const recentAnswer = 250 * time.Millisecond

// reaches tries one upstream, for as long as other connections are tried: a shorter time would count
// against the paths.
func (m *Monitor) reaches(u *Upstream) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	conn, err := m.Open(ctx, u)
	if err != nil {
		return false
	}
	if m.checker == nil {
		m.fleet.Probed(u, conn)
		return true
	}
	if m.checker.Check(ctx, u, conn) != nil {
		return false
	}
	m.RecordAnswer(u.Service)
	return true
}
