package control

import "time"

// lease is the right of this instance to admit requests, measured on its own
// monotonic clock.
type lease struct {
	until time.Time
	held  bool // as of the last call of change
}

type leaseChange uint8

const (
	leaseSame leaseChange = iota
	leaseGained
	leaseLost
)

// renew extends the lease that was granted in answer to a message sent at
// sentAt. Counting from the sending and not from the arrival of the answer keeps
// the holder's end before the granter's, however long the answer took.
func (l *lease) renew(sentAt time.Time, length time.Duration) {
	if until := sentAt.Add(length); until.After(l.until) {
		l.until = until
	}
}

// drop gives the lease back.
func (l *lease) drop() { l.until = time.Time{} }

// valid reports whether the lease is held.
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
