package membership

import "time"

// Timing holds the intervals of membership.
type Timing struct {
	Lease     time.Duration // how long an instance may admit calls, counted from when it sent a sync that was answered
	Margin    time.Duration // how much longer the leader waits before it treats a lease as lapsed; covers different clock rates
	Retention time.Duration // how long gone instances stay listed for reports
}
