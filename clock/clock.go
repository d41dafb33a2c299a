// Package clock provides the time to code that runs goroutines or does I/O. Pure types
// take the time as an argument instead.
package clock

import "time"

// Clock returns the current time. Differences between two times of one process are not
// affected by steps of the wall clock.
type Clock interface {
	Now() time.Time
}

// Real is the system clock, or the fake clock of a testing/synctest bubble.
type Real struct{}

// Now implements Clock.
func (Real) Now() time.Time { return time.Now() }
