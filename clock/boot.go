package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a clock that includes the time during which the machine was suspended. The
// monotonic clock stops during suspension, so a lease measured by it would still seem
// valid after it had expired on other machines. The returned times have no monotonic
// reading, so that differences between them follow this clock.
type Boot struct {
	start time.Time     // wall-clock time at the start
	boot  time.Duration // time since boot at the start
}

// NewBoot returns a clock that starts at the current wall-clock time and ignores later
// steps of the wall clock.
func NewBoot() *Boot {
	return &Boot{start: time.Now().Round(0), boot: sinceBoot()}
}

// Now implements Clock.
func (b *Boot) Now() time.Time { return b.start.Add(sinceBoot() - b.boot) }

func sinceBoot() time.Duration {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		return time.Duration(time.Now().UnixNano()) // fallback for unsupported kernels without CLOCK_BOOTTIME, so that time still advances
	}
	return time.Duration(now.Nano())
}
