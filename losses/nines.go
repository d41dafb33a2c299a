package losses

import (
	"math"
	"strconv"
)

// Nines is the fraction of calls that were served, on the scale of nines: 1 is 90 %, 2 is 99 %, and
// 3 is 99.9 %.
type Nines struct {
	Value float64 `json:"value"`
	// Bounded means that no call was lost, so that the value is only what this many calls can
	// show: one loss would have given it.
	Bounded bool `json:"bounded"`
}

// NinesOf returns the nines of a number of calls of which some were not served. Without calls it is
// 0 and bounded.
func NinesOf(calls, unserved int) Nines {
	switch {
	case calls <= 0:
		return Nines{Bounded: true}
	case unserved <= 0:
		return Nines{Value: math.Log10(float64(calls)), Bounded: true}
	case unserved >= calls:
		return Nines{}
	default:
		return Nines{Value: math.Log10(float64(calls) / float64(unserved))}
	}
}

// String returns the value with two digits after the point, with > before a bounded one.
func (n Nines) String() string {
	text := strconv.FormatFloat(n.Value, 'f', 2, 64)
	if n.Bounded {
		return ">" + text
	}
	return text
}
