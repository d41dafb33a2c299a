package slopes

import (
	"slices"
	"time"
)

// Quantiles describe a sample, in milliseconds.
type Quantiles struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// quantilesOf sorts the sample.
func quantilesOf(sample []time.Duration) Quantiles {
	if len(sample) == 0 {
		return Quantiles{}
	}
	slices.Sort(sample)
	at := func(q float64) float64 { return milliseconds(sample[int(q*float64(len(sample)-1))]) }
	return Quantiles{Count: len(sample), P50: at(0.5), P99: at(0.99), Max: at(1)}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
