package fairshare

import (
	"math"
	"time"
)

// Standing is the position of one organisation in the whole fleet. Rates are in microseconds of
// engine time per second.
type Standing struct {
	Known  bool    // whether the fleet's totals of the organisation are known and recent
	Demand float64 // rate of the incoming calls
	Served float64 // rate of the calls that were placed
	Share  float64 // weighted max-min share of the rate served by the fleet
	Usage  float64 // decayed sum of the served engine time, divided by the weight
}

const (
	// limitedRatio is the ratio of demand to share above which an organisation counts as limited.
	// The largest organisation gets less than its demand whenever a few calls wait or fail anywhere;
	// with a ratio of 1 its prompts would be moved back for that.
	limitedRatio = 1.25
	// ageDiscount is the fraction of its usage that an organisation is forgiven for a prompt that has
	// waited for its whole objective. With 1, the oldest prompts of a limited organisation would rank
	// equal to those of the others, which would then wait behind its backlog.
	ageDiscount = 0.5
)

// Limited reports whether the organisation demands more than its share. Organisations that demand
// less are served first: together they leave the limited ones at least their shares.
func (s Standing) Limited() bool { return s.Known && s.Demand > limitedRatio*s.Share }

// Score returns the rank of a waiting prompt of the organisation, lowest first: 0 unless the
// organisation is limited, otherwise its weighted usage, reduced by the age of the prompt.
func (s Standing) Score(waited, objective time.Duration) float64 {
	if !s.Limited() {
		return 0
	}
	age := 0.0
	if objective > 0 {
		age = min(1, max(0, waited.Seconds()/objective.Seconds()))
	}
	return max(math.SmallestNonzeroFloat64, s.Usage*(1-ageDiscount*age))
}
