// Package admission decides whether a request may run and in which order waiting requests are
// served: shares, limits, queues and retry budgets. Its types do no I/O.
package admission

import (
	"math"
	"time"
)

// usageHalfLife is the half-life of past usage in the order of organisations. One giant prompt
// is minutes of a small organisation's share, so with a shorter half-life it would be forgotten
// before it is paid back; with a longer one an organisation that returns after a pause would be
// entitled to the whole fleet.
const usageHalfLife = 5 * time.Minute

// decay returns the factor by which usage shrinks in the given time.
func decay(elapsed time.Duration) float64 {
	return math.Exp2(-float64(elapsed) / float64(usageHalfLife))
}

// Usage is a sum of tokens that decays with usageHalfLife.
type Usage struct {
	tokens     float64
	at         time.Time
	lastDemand float64 // value in the last demand
}

// Add counts tokens. A negative number returns unused tokens.
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
