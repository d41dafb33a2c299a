package forward

import "time"

// suspicion tracks recent failures of a node. A node that accepted no connection or stopped
// responding gets no new work for a period that doubles with each consecutive failure;
// afterwards one call may try it again.
type suspicion struct {
	failures    int
	until       time.Time
	pausedUntil time.Time // end of a pause that is unrelated to the node's health
}

const (
	// minSuspicion is longer than the shortest restart of a crashed process, so that seldom more
	// than one call reaches the node while it is down.
	minSuspicion = 500 * time.Millisecond
	maxSuspicion = 4 * time.Second
)

// raise records a failure and returns how long the node gets no new work.
func (s *suspicion) raise(now time.Time) time.Duration {
	wait := min(maxSuspicion, minSuspicion<<min(s.failures, maxDoublings))
	s.failures++
	s.until = now.Add(wait)
	return wait
}

// pauseUntil keeps new work away until the given time. It does not affect the node's failure
// count.
func (s *suspicion) pauseUntil(until time.Time) { s.pausedUntil = until }

// helpRefusalPause is how long a node that refused to help, but is reachable, gets no work: some
// passes of an engine, each of which may finish reading a part for another engine.
const helpRefusalPause = 150 * time.Millisecond

// maxDoublings bounds the shift; maxSuspicion is reached earlier.
const maxDoublings = 8

// clear resets the failures and reports whether there were any.
func (s *suspicion) clear() bool {
	had := s.failures > 0
	*s = suspicion{}
	return had
}

// active reports whether the node has failed recently.
func (s *suspicion) active(now time.Time) bool { return now.Before(s.until) }

// paused reports whether new work is kept from the node for reasons other than its health.
func (s *suspicion) paused(now time.Time) bool { return now.Before(s.pausedUntil) }
