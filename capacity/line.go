package capacity

import (
	"math"
	"slices"

	"celeryport/slopes"
)

// line is a cost that grows with a size: base + slope * size.
type line struct{ base, slope float64 }

func lineOf(f slopes.Fit) line { return line{f.Base, f.Slope} }

// through returns the line through two points.
func through(x1, y1, x2, y2 float64) line {
	slope := (y2 - y1) / (x2 - x1)
	return line{y1 - slope*x1, slope}
}

// fitFleets returns the least-squares line through measured fleets.
func fitFleets(fleets []slopes.Idle, x, y func(*slopes.Idle) float64) line {
	n := float64(len(fleets))
	var meanX, meanY, xx, xy float64
	for i := range fleets {
		meanX += x(&fleets[i]) / n
		meanY += y(&fleets[i]) / n
	}
	for i := range fleets {
		dx := x(&fleets[i]) - meanX
		xx += dx * dx
		xy += dx * (y(&fleets[i]) - meanY)
	}
	slope := xy / xx
	return line{meanY - slope*meanX, slope}
}

func (l line) at(size float64) float64 { return l.base + l.slope*size }

// reaches returns the largest whole size at which the line is within the limit,
// and none if it is above the limit at size 1.
func (l line) reaches(limit float64) (size float64, ok bool) {
	size = math.Floor((limit - l.base) / l.slope)
	return size, size >= 1
}

// plus adds a cost that doesn't depend on the size.
func (l line) plus(cost float64) line { return line{l.base + cost, l.slope} }

// median of a few runs.
func median(runs []float64) float64 {
	if len(runs) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(runs))
	return sorted[len(sorted)/2]
}
