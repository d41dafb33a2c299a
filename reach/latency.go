package reach

import "time"

const (
	// minSlow is the shortest time after which a connection counts as slow: short of it, a busy
	// machine or a garbage collection explains the delay.
	minSlow = 50 * time.Millisecond
	// deviations is how many mean deviations above the mean a connection may take, as for the
	// retransmission time-out of TCP (RFC 6298).
	deviations = 4
	// meanWeight and deviationWeight are the weights of a new sample, likewise.
	meanWeight, deviationWeight = 8, 4
)

// Latency estimates how long new connections to the upstreams of a service take. The zero value has no
// estimate yet.
type Latency struct {
	mean, deviation time.Duration
}

// Record adds the time that a new connection took.
func (l *Latency) Record(took time.Duration) {
	if l.mean == 0 {
		l.mean, l.deviation = max(1, took), took/2
		return
	}
	l.deviation += ((took - l.mean).Abs() - l.deviation) / deviationWeight
	l.mean += (took - l.mean) / meanWeight
}

// Slow returns the time after which a connection that is not established yet is evidence against
// the upstream or the path to it; false if nothing is known yet.
func (l *Latency) Slow() (time.Duration, bool) {
	return max(minSlow, l.mean+deviations*l.deviation), l.mean > 0
}
