// Package clock is the source of time of every driver. Pure types take the
// time as an argument instead and never use this package.
package clock

import "time"

// Clock tells the time. Real clocks carry a monotonic reading, so differences
// between two calls of one process are safe against wall-clock steps.
type Clock interface {
	Now() time.Time
}

// Real is the clock of the machine, or of the bubble under testing/synctest.
type Real struct{}

// Now implements Clock.
func (Real) Now() time.Time { return time.Now() }
