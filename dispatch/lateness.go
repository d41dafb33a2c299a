package dispatch

import (
	"math"
	"time"
)

const (
	// latenessGain is the weight of the newest sample in the moving average.
	latenessGain = 0.1
	// latenessHalfLife is the half-life of the average while no first token is awaited. Requests that
	// are refused because of it bring no sample.
	latenessHalfLife = 10 * time.Second
)

// lateness is the smoothed delay of first tokens relative to their prediction.
type lateness struct {
	average time.Duration
	awaited int       // first tokens that may still come
	idleAt  time.Time // when none was awaited any more
}

// await records a send.
func (l *lateness) await(now time.Time) {
	l.average = l.expected(now)
	l.awaited++
}

// observe records the delay of a first token that is awaited.
func (l *lateness) observe(sample time.Duration) {
	l.average += time.Duration(latenessGain * float64(max(0, sample)-l.average))
}

// settle records that a first token has come, or that its send has ended without.
func (l *lateness) settle(now time.Time) {
	l.awaited--
	l.idleAt = now
}

// expected returns the delay to expect.
func (l *lateness) expected(now time.Time) time.Duration {
	if l.average == 0 || l.awaited > 0 {
		return l.average
	}
	return time.Duration(float64(l.average) * math.Exp2(-float64(now.Sub(l.idleAt))/float64(latenessHalfLife)))
}
