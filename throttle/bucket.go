package throttle

import "time"

const (
	// burst is the number of requests that may be sent at once after an idle
	// period.
	burst = 1
	// burstTime increases the burst by what the rate allows in this time.
	burstTime = 250 * time.Millisecond
)

// Bucket is a token bucket whose rate may change. It is not safe for concurrent
// use.
type Bucket struct {
	rate   float64 // requests per second
	tokens float64
	at     time.Time
}

// NewBucket returns a full bucket.
func NewBucket(now time.Time) *Bucket { return &Bucket{tokens: burst, at: now} }

// SetRate changes the rate as of now.
func (b *Bucket) SetRate(now time.Time, rate float64) {
	b.fill(now)
	b.rate = rate
}

// Open reports whether a request may be sent now. It is never true at a rate of
// 0.
func (b *Bucket) Open(now time.Time) bool {
	b.fill(now)
	return b.rate > 0 && b.tokens >= 1
}

// Take consumes the token of one request.
func (b *Bucket) Take(now time.Time) {
	b.fill(now)
	b.tokens--
}

func (b *Bucket) fill(now time.Time) {
	b.tokens = min(b.tokens+b.rate*now.Sub(b.at).Seconds(), burst+b.rate*burstTime.Seconds())
	b.at = now
}
