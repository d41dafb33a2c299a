package planner

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Call is one call of which an answer in time is owed.
type Call struct {
	Arrived   time.Duration // since the begin of the span that is looked at
	Objective time.Duration // from its arrival
	Need      float64       // seconds of one engine
	Value     float64       // of an answer in time, in any unit
}

// Capacity is the engine time of a span, in seconds of one engine for each slot.
type Capacity struct {
	Slot  time.Duration
	Slots []float64
}

// Reachable returns for each call the part of it that the best plan serves in time, from
// 0 to 1. The calls that are worth most for each second of an engine go first; each gets as
// much as the slots between its arrival and its objective have left beside those before it.
// Greedy is optimal here, since the amounts that fit form a polymatroid.
func Reachable(calls []Call, capacity Capacity) []float64 {
	parts := make([]float64, len(calls))
	if len(capacity.Slots) == 0 {
		return parts
	}
	order := make([]int, len(calls))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(calls[b].Value*calls[a].Need, calls[a].Value*calls[b].Need)
	})
	left := newSpans(capacity.Slots)
	for _, i := range order {
		c := &calls[i]
		if c.Need <= 0 {
			parts[i] = 1
			continue
		}
		from, to := capacity.slotOf(c.Arrived), capacity.slotOf(c.Arrived+c.Objective)
		parts[i] = left.take(from, to, c.Need) / c.Need
	}
	return parts
}

func (c Capacity) slotOf(at time.Duration) int {
	return max(0, min(len(c.Slots)-1, int(at/c.Slot)))
}

// spans holds for each span of slots how much more of the calls that lie within it fits.
type spans struct {
	left [][]float64 // by first slot, then by last slot
}

func newSpans(slots []float64) *spans {
	s := &spans{left: make([][]float64, len(slots))}
	for from := range slots {
		s.left[from] = make([]float64, len(slots))
		total := 0.0
		for to := from; to < len(slots); to++ {
			total += slots[to]
			s.left[from][to] = total
		}
	}
	return s
}

// take takes as much of an amount as fits between two slots, the last one included: what
// is taken lies within each span that contains them.
func (s *spans) take(from, to int, amount float64) float64 {
	for first := 0; first <= from; first++ {
		for _, left := range s.left[first][to:] {
			amount = math.Min(amount, left)
		}
	}
	for first := 0; first <= from; first++ {
		row := s.left[first][to:]
		for i := range row {
			row[i] -= amount
		}
	}
	return amount
}
