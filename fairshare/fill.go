package fairshare

import (
	"math"

	"celeryport/quota"
)

// maxRate bounds a plausible rate of one organisation, in microseconds of engine time per second:
// that of 100,000 engines. maxUsage bounds its decayed usage: that rate over an hour.
const (
	maxRate  = 1e11
	maxUsage = maxRate * 3600
)

// defaultWeight is the weight of an organisation whose settings have none.
const defaultWeight = 1

// restWeight gives the sum of small organisations all that it demands: each of them demands less
// than the organisations that are stated by name at its instance.
const restWeight = 1e12

// Fill sets the share of each organisation in grants that contain the totals of the whole fleet.
// Without any served rate, as from instances that do not use shares, it changes nothing.
func Fill(grants []quota.Grant, weightOf func(organisation string) float64) {
	capacity := 0.0
	wants := make([]want, len(grants))
	for i := range grants {
		g := &grants[i]
		wants[i].weight = weight(weightOf(g.Organisation))
		if g.Organisation == Rest {
			wants[i].weight = restWeight
		}
		if !plausible(g.FleetServed, maxRate) || !plausible(g.FleetDemand, maxRate) {
			continue
		}
		capacity += g.FleetServed
		wants[i].amount = max(g.FleetDemand, g.FleetServed)
	}
	if capacity == 0 {
		return
	}
	for i, part := range maxMin(capacity, wants) {
		grants[i].FleetShare = math.Round(part)
	}
}

func weight(set float64) float64 {
	if set > 0 && !math.IsInf(set, 0) {
		return set
	}
	return defaultWeight
}

// plausible reports whether a stated number is within its range; NaN is not.
func plausible(value, limit float64) bool { return value >= 0 && value <= limit }
