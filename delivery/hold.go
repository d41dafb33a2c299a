package delivery

import "time"

const (
	// minHoldCheck and maxHoldCheck bound how long after a check the bytes that are not acknowledged are checked again.
	minHoldCheck = 20 * time.Millisecond
	maxHoldCheck = 100 * time.Millisecond
	// holdChecks is about how often they are checked while the time since the answer doubles.
	holdChecks = 8
)

// Held is what is known of a connection whose last answer was written completely.
type Held struct {
	Unacknowledged int           // bytes of answers that the caller's host has not acknowledged; 0 also if that is not known
	Gone           bool          // the connection has failed: no byte reaches the caller any more
	Stopping       bool          // this instance stops, and the machine may end with it
	Over           bool          // the stop leaves no more time
	For            time.Duration // since the answer was written
}

// CheckAfter returns for how long to keep the connection before it is checked again, 0 if it may be closed. The kernel goes
// on sending after a close, but not after the end of the machine, which may follow that of the process.
func (h *Held) CheckAfter() time.Duration {
	late := h.For >= Timeout && !h.Stopping // outside a stop the kernel goes on
	if h.Unacknowledged == 0 || h.Gone || h.Over || late {
		return 0
	}
	return min(max(h.For/holdChecks, minHoldCheck), maxHoldCheck)
}
