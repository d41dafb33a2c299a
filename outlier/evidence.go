package outlier

import (
	"math"
	"slices"
	"time"

	"celeryport/loadshare"
)

const (
	// failingRate is the fraction of failures that the evidence tests for, against the usual one.
	failingRate = 0.5
	// minUsualRate is the lowest rate that counts as usual: single failures happen at sound upstreams.
	minUsualRate = 0.02
	// maxUsualRate is the rate from which no upstream can be told from the usual.
	maxUsualRate = 0.35
	// minUsualWeight is the number of earlier outcomes with that rate that an upstream is credited with.
	minUsualWeight = 10
	// classWeight is the number of outcomes for which the rate over all calls counts in that of a class.
	classWeight = 3
	// unknownRate is the usual rate of a class that no other upstream has answered or failed lately, if the
	// upstream answers other classes: its calls may fail everywhere.
	unknownRate = 0.15
	// knownOutcomes is the weight of outcomes from which the rate of a class is known.
	knownOutcomes = 0.3
	// unconfirmedWeight is the evidence of a failed request that no upstream has answered yet, compared with
	// one that another upstream has answered.
	unconfirmedWeight = 0.6
	// minorWeight is the evidence of a rejection, or of a stream that stops, compared with that of
	// a failure: a sound upstream rejects calls while it is full.
	minorWeight = 0.5
)

// weights returns by how much a failure raises the evidence against an upstream and a success lowers it:
// the logarithms of the likelihood ratios of a failing and a usual upstream.
func weights(usual float64) (failure, success float64) {
	if usual >= maxUsualRate {
		return 0, 0
	}
	return math.Log(failingRate / usual), math.Log((1 - usual) / (1 - failingRate))
}

// usualRate returns the fraction of failures with which those of an upstream are compared: that of the other
// upstreams, over all calls or over those of a class, whichever is higher.
func (d *Detector) usualRate(now time.Time, of loadshare.Key, class string) float64 {
	var overall, ofClass []float64
	for key, u := range d.upstreams {
		if key == of {
			continue
		}
		rate := u.all.rate(now, minUsualRate, minUsualWeight)
		overall = append(overall, rate)
		if t := u.classes[class]; t != nil && t.weight(now) >= knownOutcomes {
			ofClass = append(ofClass, t.rate(now, rate, classWeight))
		}
	}
	if len(ofClass) == 0 && d.upstreams[of].answering {
		ofClass = append(ofClass, unknownRate)
	}
	return max(minUsualRate, typical(overall), typical(ofClass))
}

// typical returns the mean of the lower two thirds of some values, 0 if there are none: a few failing
// upstreams must not hide each other.
func typical(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	kept := values[:typicalCount(len(values))]
	sum := 0.0
	for _, v := range kept {
		sum += v
	}
	return sum / float64(len(kept))
}

// typicalCount returns how many of the lowest of some values are typical.
func typicalCount(values int) int {
	if values <= 0 {
		return 0
	}
	return max(1, values*2/3)
}
