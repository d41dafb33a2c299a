package forward

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// Guards against a lease that ends because one order found its helper silent, and against orders without
// end at one that refuses or is gone.
func TestLeaseIsRenewedSoonAfterSilence(t *testing.T) {
	now := time.Unix(1, 0)
	l := lease{reservedAt: now}
	l.record(now, l.hold(now), nil)
	for _, step := range []struct {
		name string
		pass time.Duration
		err  error
		want time.Duration
	}{
		{"granted", renewInterval, nil, renewInterval},
		{"silent", renewInterval, errNoReply, renewRetryInterval},
		{"silent again", orderTimeout, errNoReply, renewRetryInterval},
		{"goes on", orderTimeout, nil, renewInterval},
		{"refused", renewInterval, errors.New("status 409"), renewInterval},
		{"silent when the lease has ended", renewInterval, errNoReply, renewInterval},
	} {
		now = now.Add(step.pass)
		if l.record(now, l.hold(now), step.err); l.renewAfter(now) != step.want || !l.due() || l.ended(now) {
			t.Errorf("%s: the next order after %s, want %s", step.name, l.renewAfter(now), step.want)
		}
	}
}

// follow runs the renewals of a lease whose orders are carried out at once until it is given up, at most for a time. It
// returns when memory that no call uses is free, and the numbers of orders and of questions. A call uses the memory from usedAt
// on, 0: never.
func follow(idle, usedAt, most time.Duration) (free time.Duration, orders, questions int) {
	start := time.Unix(1, 0)
	now, l := start, lease{idle: idle, reservedAt: start}
	l.record(now, l.hold(now), nil)
	for now.Sub(start) < most {
		now = now.Add(l.renewAfter(now))
		if l.limited(now) {
			questions++
			l.used = usedAt > 0 && now.Sub(start) >= usedAt
		}
		if l.ended(now) {
			break
		}
		if l.due() {
			orders++
			l.record(now, l.hold(now), nil)
		}
	}
	return l.until.Sub(start), orders, questions
}

// Guards against memory that no call uses and that is free only after the bound although orders are carried out late, or long
// before it, and against orders that extend nothing.
func TestMemoryWithoutUseIsFreeBeforeTheBound(t *testing.T) {
	for _, idle := range []time.Duration{2 * time.Second, 4 * time.Second, 5 * time.Second, 9 * time.Second, 30 * time.Second} {
		free, orders, questions := follow(idle, 0, time.Minute)
		if free > idle-2*orderTimeout || free < idle-3*orderTimeout || questions == 0 || questions > 10 || orders > int(idle/renewInterval) {
			t.Errorf("bound %s: free after %s, %d orders, %d questions", idle, free, orders, questions)
		}
	}
}

// Guards against a lease that ends while a call uses the memory, and against questions that are asked although their answer
// is known or does not matter.
func TestMemoryInUseIsRenewedWithoutABound(t *testing.T) {
	for _, c := range []struct {
		idle, usedAt time.Duration
		questions    int
	}{{0, 0, 0}, {9 * time.Second, time.Second, 1}, {9 * time.Second, 8 * time.Second, 8}, {4 * time.Second, time.Second, 2}, {3 * time.Second, 2 * time.Second, 4}} {
		free, _, questions := follow(c.idle, c.usedAt, time.Minute)
		if free < time.Minute || questions > c.questions {
			t.Errorf("bound %s, used from %s on: the lease ends after %s, %d questions", c.idle, c.usedAt, free, questions)
		}
	}
}
