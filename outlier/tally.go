package outlier

import (
	"math"
	"time"
)

const (
	// memory is the time in which the weight of an outcome falls to 1/e.
	memory = 10 * time.Second
	// deviations is by how many standard deviations the number of failures may be too low.
	deviations = 1.5
)

// tally counts outcomes, whose weight decreases with their age.
type tally struct {
	succeeded, failed float64
	at                time.Time
}

// age decreases the weights until now.
func (t *tally) age(now time.Time) {
	factor := fading(now.Sub(t.at))
	t.succeeded, t.failed, t.at = t.succeeded*factor, t.failed*factor, now
}

// fading returns the weight of an outcome after some time.
func fading(passed time.Duration) float64 {
	return math.Exp(-max(0, passed.Seconds()) / memory.Seconds())
}

// weight returns the sum of the weights of the outcomes.
func (t *tally) weight(now time.Time) float64 {
	return (t.failed + t.succeeded) * fading(now.Sub(t.at))
}

// rate returns the fraction of failures that is plausible for an upstream with these outcomes, if the given number of
// earlier outcomes had an expected rate.
func (t *tally) rate(now time.Time, expected, earlier float64) float64 {
	factor := fading(now.Sub(t.at))
	failed, all := t.failed*factor, (t.failed+t.succeeded)*factor
	return (failed + deviations*math.Sqrt(failed) + earlier*expected) / (all + earlier)
}
