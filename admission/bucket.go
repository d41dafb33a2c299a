package admission

import "time"

// burst is the time over which the unused capacity of a rate limit accumulates.
const burst = time.Second

// bucket is a token bucket that may go into debt: one prompt may be larger than a second's worth
// of the limit, and the debt then keeps the mean rate at the limit.
type bucket struct {
	rate  float64 // tokens per second
	level float64
	at    time.Time
}

func (b *bucket) setRate(now time.Time, rate float64) {
	b.fill(now)
	if b.rate == 0 {
		b.level = rate * burst.Seconds()
	}
	b.rate = rate
}

func (b *bucket) fill(now time.Time) {
	if !b.at.IsZero() {
		b.level += b.rate * now.Sub(b.at).Seconds()
	}
	b.level = min(b.level, b.rate*burst.Seconds())
	b.at = now
}

func (b *bucket) open(now time.Time) bool {
	b.fill(now)
	return b.level > 0
}

// timeToOpen returns the time until the debt is paid off.
func (b *bucket) timeToOpen(now time.Time) time.Duration {
	b.fill(now)
	if b.rate <= 0 {
		return grantRetry
	}
	return max(time.Millisecond, time.Duration(-b.level/b.rate*float64(time.Second)))
}

func (b *bucket) take(now time.Time, tokens float64) {
	b.fill(now)
	b.level -= tokens
}
