package resend

import "time"

const (
	// firstPause is the pause before a call is sent again to an upstream that it could not reach.
	// It doubles with each miss, because all calls of the service try the same few addresses.
	firstPause = 50 * time.Millisecond
	// maxDoublings bounds the shift.
	maxDoublings = 3
	// announcedWithin is the time within which a restarted upstream announces itself: an interval
	// of 1.2 s and the way through two instances.
	announcedWithin = 1500 * time.Millisecond
	// maxRestartWait bounds how long one call waits for the restart of an upstream: a crashed
	// process is back after about half of it.
	maxRestartWait = time.Second
)

// Absence is what a call knows about a service whose upstreams have all failed it or are not
// listed.
type Absence struct {
	Began      time.Time // when the call began
	Deadline   time.Time // of the call; zero: none
	MissedAt   time.Time // when its last send found no running upstream; zero if it found one
	Misses     int       // how many sends found none
	ReplacedAt time.Time // when another process was first seen at the address of an upstream; zero if never
}

// PauseBeforeRetry returns the time until the call may be sent again to an upstream that it has
// tried before, and whether to give up instead.
func (a *Absence) PauseBeforeRetry(now time.Time) (pause time.Duration, giveUp bool) {
	if a.MissedAt.IsZero() {
		return 0, false
	}
	left := firstPause<<min(maxDoublings, max(0, a.Misses-1)) - now.Sub(a.MissedAt)
	retryAt := now.Add(max(0, left))
	return max(0, left), retryAt.Sub(a.Began) > maxRestartWait || a.tooLate(retryAt)
}

// tooLate reports whether a send at the given time can't be answered before the deadline.
func (a *Absence) tooLate(at time.Time) bool {
	return !a.Deadline.IsZero() && a.Deadline.Sub(at) < minTimeLeft
}

// AwaitsAnnouncement reports whether a call that finds no upstream waits for an announcement:
// another process answers at the address of one, so that it has restarted and is about to
// announce itself.
func (a *Absence) AwaitsAnnouncement(now time.Time) bool {
	return !a.ReplacedAt.IsZero() && now.Sub(a.ReplacedAt) < announcedWithin && now.Sub(a.Began) < maxRestartWait && !a.tooLate(now)
}
