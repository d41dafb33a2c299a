package order

import "time"

// Timing holds the intervals of a Reconciler.
type Timing struct {
	TakeoverDelay time.Duration // how long a new issuer makes no calls to engines that ignore fencing
	Timeout       time.Duration // of one call to an engine; its answer counts as lost after that
	StateLifetime time.Duration // how long the reported state of an engine is used before it is read again
	Backoff       time.Duration // pause after an engine refused an order or was unreachable
}

// DefaultTiming returns the production intervals. TakeoverDelay covers the
// leader's lease of a former issuer and the timeout of its last call.
func DefaultTiming() Timing {
	return Timing{
		TakeoverDelay: 5 * time.Second,
		Timeout:       2 * time.Second,
		StateLifetime: 30 * time.Second,
		Backoff:       3 * time.Second,
	}
}
