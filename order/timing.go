package order

import "time"

// Timing holds the intervals of a Reconciler.
type Timing struct {
	Wait    time.Duration // a new issuer leaves engines that ignore fencing alone for so long
	Timeout time.Duration // of one call to an engine; a call that takes longer is lost
	Reread  time.Duration // how long what an engine said of itself is believed
	Backoff time.Duration // pause after an engine refused an order or could not be reached
}

// DefaultTiming returns the intervals in production. Wait covers the leader's
// lease of a former issuer and the timeout of its last call.
func DefaultTiming() Timing {
	return Timing{
		Wait:    5 * time.Second,
		Timeout: 2 * time.Second,
		Reread:  30 * time.Second,
		Backoff: 3 * time.Second,
	}
}
