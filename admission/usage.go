// Package admission decides whether a request may run and in which order the
// waiting ones go: shares, limits, queues, retry budgets and predictions of the
// wait. Its types are pure.
package admission

import (
	"math"
	"time"
)

// usageHalfLife is the time in which past usage loses half of its weight in the
// order of organisations. One giant prompt is minutes of a small organisation's
// share, so a shorter memory forgets it before it is paid back; with a longer one
// an organisation that returns after a silence has a claim to the whole fleet.
const usageHalfLife = 5 * time.Minute

// decay is the factor by which usage shrinks in the given time.
func decay(elapsed time.Duration) float64 {
	return math.Exp2(-float64(elapsed) / float64(usageHalfLife))
}

// Usage is a sum of tokens that decays with usageHalfLife.
type Usage struct {
	tokens float64
	at     time.Time
	stated float64 // value in the last demand
}

// Add counts tokens. A negative number takes back what was not used.
func (u *Usage) Add(now time.Time, tokens float64) {
	u.tokens = max(0, u.At(now)+tokens)
	u.at = now
}

// At returns the sum as of now.
func (u *Usage) At(now time.Time) float64 {
	if u.tokens == 0 {
		return 0
	}
	return u.tokens * decay(now.Sub(u.at))
}
