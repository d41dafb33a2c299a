package endings

import (
	"math"
	"time"
)

// Probability returns the probability that at least one engine terminates during a number of
// engine-seconds, at a rate of terminations per engine-second. Terminations are taken as
// independent of each other; for engines that terminate together this is an upper bound. An
// invalid rate counts as 0.
func Probability(rate float64, exposure time.Duration) float64 {
	if !(rate > 0) || exposure <= 0 {
		return 0
	}
	return -math.Expm1(-rate * exposure.Seconds())
}
