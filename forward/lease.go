package forward

import (
	"time"

	"github.com/cockroachdb/errors"
)

// lease follows the renewals of one reservation. An engine that leads a call and has not begun it can't be told from one
// that never will, so memory that no call uses is kept for a limited time only.
type lease struct {
	idle       time.Duration // for which the memory may be reserved and unused; 0: without a bound
	reservedAt time.Time     // when the memory was asked for first
	until      time.Time     // end of the lease that was granted last
	silent     bool          // the helper has not replied to the last order
	used       bool          // a call uses the memory, or has used it
}

const (
	// idleMargin is the time before the end of the bound at which memory that no call uses is given up: the first order and the
	// last one may be carried out late, each by as much as it is waited for, and so may the last question.
	idleMargin = 3 * orderTimeout
	// useInterval is the time between two questions whether a call uses the memory.
	useInterval = 500 * time.Millisecond
)

// record records the outcome of an order that was sent at a time and reserves the memory for a duration.
func (l *lease) record(sentAt time.Time, hold time.Duration, err error) {
	if l.silent = errors.Is(err, errNoReply); err == nil {
		l.until = sentAt.Add(hold)
	}
}

// hold returns for how long an order reserves the memory. Unless a call is known to use it, that ends before the bound.
func (l *lease) hold(now time.Time) time.Duration {
	if l.used || l.idle <= 0 {
		return leaseDuration
	}
	return max(orderTimeout, min(leaseDuration, l.idleEnd().Add(orderTimeout).Sub(now)))
}

// limited reports whether it has to be known whether a call uses the memory: the next lease can't be a whole one otherwise.
func (l *lease) limited(now time.Time) bool { return l.hold(now) < leaseDuration }

// due reports whether the lease is to be renewed. Without a call that uses the memory it can't be extended beyond the bound.
func (l *lease) due() bool { return !l.bounded() || l.until.Before(l.idleEnd()) }

// ended reports whether the memory is given up because no call has used it in time.
func (l *lease) ended(now time.Time) bool { return l.bounded() && !now.Before(l.idleEnd()) }

func (l *lease) bounded() bool { return !l.used && l.idle > 0 }

// idleEnd returns until when memory is kept that no call uses.
func (l *lease) idleEnd() time.Time { return l.reservedAt.Add(l.idle - idleMargin) }

// renewAfter returns the time until the next order or question. A helper that does not reply is asked again soon, for as
// long as the lease may hold.
func (l *lease) renewAfter(now time.Time) time.Duration {
	switch {
	case l.silent && now.Before(l.until):
		return renewRetryInterval
	case !l.due():
		return min(useInterval, l.idleEnd().Sub(now))
	default:
		return renewInterval
	}
}
