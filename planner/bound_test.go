package planner

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func even(slots int, each float64) Capacity {
	c := Capacity{Slot: time.Second}
	for range slots {
		c.Slots = append(c.Slots, each)
	}
	return c
}

func TestReachable(t *testing.T) {
	tests := []struct {
		name     string
		calls    []Call
		capacity Capacity
		want     []float64
	}{
		{"all fit", []Call{{0, seconds(0.9), 1, 1}, {0, seconds(0.9), 1, 1}}, even(1, 2), []float64{1, 1}},
		{"more value per engine second goes first", []Call{{0, 0, 2, 2}, {0, 0, 1, 3}}, even(1, 2), []float64{0.5, 1}},
		{"a call with a late objective leaves capacity", []Call{{0, seconds(1.5), 2, 9}, {0, 0, 2, 1}}, even(2, 2), []float64{1, 1}},
		{"an urgent call of high value goes first", []Call{{0, seconds(1.5), 4, 1}, {seconds(1), 0, 2, 9}}, even(2, 2), []float64{0.5, 1}},
		{"no engines in one slot", []Call{{0, seconds(2.5), 3, 1}}, Capacity{time.Second, []float64{1, 0, 1}}, []float64{2. / 3}},
		{"no engine time needed", []Call{{0, 0, 0, 1}}, even(1, 0), []float64{1}},
		{"after the end", []Call{{seconds(9), 0, 1, 1}}, even(2, 1), []float64{1}},
		{"no slots", []Call{{0, 0, 1, 1}}, Capacity{}, []float64{0}},
	}
	for _, test := range tests {
		for i, got := range Reachable(test.calls, test.capacity) {
			if math.Abs(got-test.want[i]) > 1e-9 {
				t.Errorf("%s: the served fraction of call %d is %g, want %g", test.name, i, got, test.want[i])
			}
		}
	}
}

// Guards against a bound below what a policy reaches: serving in order of arrival must never be
// worth more.
func TestNoPolicyIsAboveTheBound(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 1))
		slots := 1 + random.IntN(6)
		capacity := even(slots, float64(1+random.IntN(3)))
		var calls []Call
		for range 1 + random.IntN(8) {
			calls = append(calls, Call{
				Arrived:   seconds(float64(random.IntN(slots))),
				Objective: seconds(float64(random.IntN(4))),
				Need:      float64(1 + random.IntN(4)),
				Value:     float64(1 + random.IntN(9)),
			})
		}
		bound, served := 0.0, 0.0
		for i, part := range Reachable(calls, capacity) {
			bound += part * calls[i].Value
		}
		free := append([]float64(nil), capacity.Slots...)
		for i := range calls {
			need := calls[i].Need
			for at := capacity.slotOf(calls[i].Arrived); at <= capacity.slotOf(calls[i].Arrived+calls[i].Objective); at++ {
				used := math.Min(need, free[at])
				free[at], need = free[at]-used, need-used
			}
			served += calls[i].Value * (1 - need/calls[i].Need)
		}
		if served > bound+1e-9 {
			t.Fatalf("seed %d: in order of arrival %g are served, the bound is %g", seed, served, bound)
		}
	}
}
