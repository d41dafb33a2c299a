package forward

import "time"

// doubt is how much a node has failed of late. A node that took no connection, or
// fell silent, gets no new work for a while that doubles with each failure in a
// row; then one call may try it again.
type doubt struct {
	failures int
	until    time.Time
}

const (
	// firstDoubt is above the time in which a crashed process is started again at
	// the earliest, so that seldom more than one call meets it while it is down.
	firstDoubt = 500 * time.Millisecond
	mostDoubt  = 4 * time.Second
)

// raise notes a failure and returns how long the node gets no new work.
func (d *doubt) raise(now time.Time) time.Duration {
	wait := min(mostDoubt, firstDoubt<<min(d.failures, doublings))
	d.failures++
	d.until = now.Add(wait)
	return wait
}

// doublings keeps the shift small; mostDoubt is reached before.
const doublings = 8

// clear forgets the failures and reports whether there were any.
func (d *doubt) clear() bool {
	had := d.failures > 0
	*d = doubt{}
	return had
}

// holds reports whether the node is to be passed over.
func (d *doubt) holds(now time.Time) bool { return now.Before(d.until) }
