package recovery

import "math"

// Spread distributes the calls that one instance places without a view of the loads over the
// engines. Its points are even over the calls of one instance and over the instances: with
// uniform random points, 200 calls at 26 engines of 12 slots exceed the slots of one engine in
// most cases, because the instances cannot react to each other. It is not safe for concurrent use.
type Spread struct {
	calls int // calls placed so far
}

// Next returns two points in [0, 1) for the next call: where it starts, and the alternative if
// this instance itself has placed more calls at the first. rank is the position of this instance
// among all instances, in an order that is the same on all of them.
func (s *Spread) Next(rank, instances int) [2]float64 {
	phase := (float64(rank) + 0.5) / float64(max(1, instances))
	first := fractional(phase + float64(s.calls)*goldenRatio)
	s.calls++
	return [2]float64{first, fractional(first + alternative)}
}

// Calls returns the number of calls placed so far.
func (s *Spread) Calls() int { return s.calls }

func fractional(x float64) float64 { return x - math.Floor(x) }

const (
	// goldenRatio, multiplied by consecutive integers, gives fractional parts that are spread
	// evenly over the unit interval, whatever the number of engines.
	goldenRatio = 0.6180339887498949
	// alternative is the distance of the second point from the first. It is far from the steps
	// between consecutive calls.
	alternative = 0.5
)
