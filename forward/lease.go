package forward

import (
	"time"

	"github.com/cockroachdb/errors"
)

// lease follows the renewals of one reservation.
type lease struct {
	idle       time.Duration // for which the memory may be reserved and unused; 0: without a bound
	reservedAt time.Time     // when the memory was asked for first
	renewedAt  time.Time     // when it was last granted
	silent     bool          // the helper has not replied to the last order
	used       bool          // a call uses the memory, or has used it
}

// exceedsIdle reports whether memory that is not known to be used would stay reserved for longer than it may if the
// lease were renewed for its whole duration.
func (l *lease) exceedsIdle(now time.Time) bool {
	return !l.used && l.idle > 0 && now.Add(leaseDuration).After(l.idleEnd())
}

// idleEnd returns until when memory may stay reserved that no call uses.
func (l *lease) idleEnd() time.Time { return l.reservedAt.Add(l.idle - idleMargin) }

// idleMargin is the time by which memory that no call uses is free before it has to be: the first order and one that renews
// the lease may be carried out late, each by as much as it is waited for.
const idleMargin = 2 * orderTimeout

// record records the outcome of an order that renews the lease.
func (l *lease) record(now time.Time, err error) {
	if l.silent = errors.Is(err, errNoReply); err == nil {
		l.renewedAt = now
	}
}

// renewAfter returns the time until the next order. A helper that does not reply is asked again soon, for as
// long as the lease may hold.
func (l *lease) renewAfter(now time.Time) time.Duration {
	if l.silent && now.Sub(l.renewedAt) < leaseDuration {
		return renewRetryInterval
	}
	return renewInterval
}
