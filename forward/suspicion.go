package forward

import "time"

// suspicion is how much a node has failed of late. A node that took no connection, or
// fell silent, gets no new work for a while that doubles with each failure in a
// row; then one call may try it again.
type suspicion struct {
	failures int
	until    time.Time
	busy     time.Time // until when it is passed over for other reasons
}

const (
	// firstSuspicion is above the time in which a crashed process is started again at
	// the earliest, so that seldom more than one call meets it while it is down.
	firstSuspicion = 500 * time.Millisecond
	mostSuspicion  = 4 * time.Second
)

// raise notes a failure and returns how long the node gets no new work.
func (d *suspicion) raise(now time.Time) time.Duration {
	wait := min(mostSuspicion, firstSuspicion<<min(d.failures, doublings))
	d.failures++
	d.until = now.Add(wait)
	return wait
}

// pass keeps new work away until a time; it says nothing of the node's health.
func (d *suspicion) pass(until time.Time) { d.busy = until }

// passPause is how long a node that refused to help, but is there, gets no work: some
// passes of an engine, after each of which it may have read a part for another one.
const passPause = 150 * time.Millisecond

// doublings keeps the shift small; mostSuspicion is reached before.
const doublings = 8

// clear forgets the failures and reports whether there were any.
func (d *suspicion) clear() bool {
	had := d.failures > 0
	*d = suspicion{}
	return had
}

// holds reports whether the node failed of late.
func (d *suspicion) holds(now time.Time) bool { return now.Before(d.until) }

// passes reports whether the node is to be passed over for a moment.
func (d *suspicion) passes(now time.Time) bool { return now.Before(d.busy) }
