package planner

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Call is a call that has an objective.
type Call struct {
	Arrived   time.Duration // since the start of the period under review
	Objective time.Duration // time allowed from its arrival
	Need      float64       // engine seconds
	Value     float64       // value of an answer in time, in any unit
}

// Capacity is the available engine time of a period, in engine seconds for each time slot.
type Capacity struct {
	Slot  time.Duration
	Slots []float64
}

// Reachable returns for each call the fraction of it, from 0 to 1, that an optimal plan serves
// in time. Calls with the most value per engine second go first; each gets as much as the calls
// before it have left in the time slots between its arrival and its objective. The greedy order
// is optimal here, because the feasible amounts form a polymatroid.
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

// spans holds the remaining capacity of each contiguous range of time slots for calls that lie
// within it.
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

// take allocates as much of an amount as fits between two slots, both included, and deducts it
// from each range that contains them.
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
