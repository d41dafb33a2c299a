package membership

import "time"

// Timing holds the intervals of membership.
type Timing struct {
	Lease  time.Duration // an instance may admit for so long after it sent an answered sync
	Margin time.Duration // the leader waits so much longer than the lease before it counts it as lapsed; covers clock rates that differ
	Kept   time.Duration // how long instances that are gone stay listed, for reports
}
