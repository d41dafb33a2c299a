package recovery

import (
	"math/rand/v2"
	"testing"
	"time"

	"celeryport/placement"
	"celeryport/settings"
)

var engineOf12Slots = &settings.EngineProfile{
	Slots: 12, MemoryTokens: 405_000, Stride: 52, Step: 1310 * time.Microsecond, PrefillRate: 154_000,
	PairsPerM: 162 * time.Microsecond, Chunk: 2048, MinPauseLimit: 250 * time.Millisecond, MeanAnswer: 300,
}

var shortCall = placement.Call{
	Prompt: 5_000, Answer: 1_300, Objective: 300 * time.Millisecond, LongPause: 250 * time.Millisecond, Remaining: 10 * time.Second,
}

// burst places 200 short calls at one moment at 66 instances that know no calls but their own,
// and returns how many streams each of 26 engines gets beyond its slots.
func burst(t *testing.T, instanceOf func(call int) int, spread bool) (excess, used int) {
	t.Helper()
	const calls, instances, engines = 200, 66, 26
	views := make([][]placement.Engine, instances)
	starts := make([]Spread, instances)
	streams := make([]int, engines)
	random := rand.New(rand.NewPCG(5, 6))
	for c := range calls {
		rank := instanceOf(c)
		if views[rank] == nil {
			views[rank] = make([]placement.Engine, engines)
			for i := range views[rank] {
				views[rank][i].Order = uint64(i)
			}
		}
		call := shortCall
		call.Draw = [2]float64{random.Float64(), random.Float64()}
		if call.Spread = spread; spread {
			call.Draw = starts[rank].Next(rank, instances)
		}
		plan, found := placement.Prompt(engineOf12Slots, views[rank], &call)
		if !found {
			t.Fatal("a call was refused")
		}
		load := &views[rank][plan.Lead].Load
		load.Streams, load.Tight, load.Leading, load.PrefillTime = load.Streams+1, load.Tight+1, load.Leading+1, load.PrefillTime+plan.Part
		streams[plan.Lead]++
	}
	for _, n := range streams {
		excess += max(0, n-engineOf12Slots.Slots)
		used += min(1, n)
	}
	return excess, used
}

func TestCallsAfterALossOfAllProcessesFitTheSlots(t *testing.T) {
	// Guards against a fleet whose instances all take their empty views for idle engines: they
	// packed 200 calls onto 6 of 26 engines.
	evenly := func(call int) int { return call % 66 }
	if excess, used := burst(t, evenly, true); excess > 0 || used < 26 {
		t.Errorf("%d streams beyond the slots, on %d engines", excess, used)
	}
	// Callers that choose instances at random give some instances more calls than others, so that
	// a few streams exceed the slots; uniform random starts would exceed them many times as often.
	total := 0
	for seed := range uint64(1000) {
		random := rand.New(rand.NewPCG(seed, 2))
		excess, _ := burst(t, func(int) int { return random.IntN(66) }, true)
		total += excess
	}
	if total > 100 {
		t.Errorf("%d of 200,000 streams are beyond the slots, want at most 100", total)
	}
}
