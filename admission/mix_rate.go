package admission

import (
	"math"
	"time"

	"celeryport/quota"
)

// mixWindow is the time constant of a measured mix. Long prompts are few, so with a short window
// the long lane would grow and shrink with each of them.
const mixWindow = time.Minute

// MixRate measures a mix as an exponentially decaying rate.
type MixRate struct {
	value quota.Mix
	at    time.Time
}

// Add counts prompt tokens.
func (r *MixRate) Add(now time.Time, tokens quota.Mix) {
	r.value = r.At(now).Plus(tokens.Times(1 / mixWindow.Seconds()))
	r.at = now
}

// At returns the rates as of now.
func (r *MixRate) At(now time.Time) quota.Mix {
	return r.value.Times(math.Exp(-float64(now.Sub(r.at)) / float64(mixWindow)))
}
