package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a clock that also counts the time in which the machine was suspended.
// The machine's steady clock stands still then: a lease measured by it would seem
// valid after a sleep in which it ran out everywhere else. Its times carry no
// monotonic reading, so that differences between them are those of this clock.
type Boot struct {
	start time.Time     // time of day at the start, never read again
	boot  time.Duration // since boot at the start
}

// NewBoot returns a clock that starts at the present time of day and does not
// follow its later jumps.
func NewBoot() *Boot {
	return &Boot{start: time.Now().Round(0), boot: sinceBoot()}
}

// Now implements Clock.
func (b *Boot) Now() time.Time { return b.start.Add(sinceBoot() - b.boot) }

func sinceBoot() time.Duration {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		return time.Duration(time.Now().UnixNano()) // a kernel without this clock is not supported, and time must go on
	}
	return time.Duration(now.Nano())
}
