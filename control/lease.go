package control

import "time"

// lease is the right of this instance to admit requests. Times are on its own monotonic
// clock.
type lease struct {
	until time.Time
	held  bool // as of the last call to change
}

type leaseChange uint8

const (
	leaseSame leaseChange = iota
	leaseGained
	leaseLost
)

// renew extends the lease granted in the answer to a message sent at sentAt. The length
// counts from the time of sending, not from the arrival of the answer, so the lease ends
// for its holder before it ends for the granter, however long the answer took.
func (l *lease) renew(sentAt time.Time, length time.Duration) {
	if until := sentAt.Add(length); until.After(l.until) {
		l.until = until
	}
}

// drop ends the lease.
func (l *lease) drop() { l.until = time.Time{} }

// valid reports whether the lease is held at now.
func (l *lease) valid(now time.Time) bool { return now.Before(l.until) }

// change reports whether the lease was gained or lost since the last call.
func (l *lease) change(now time.Time) leaseChange {
	valid := l.valid(now)
	if valid == l.held {
		return leaseSame
	}
	l.held = valid
	if valid {
		return leaseGained
	}
	return leaseLost
}
