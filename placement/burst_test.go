package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"celeryport/loadshare"
)

// replay simulates short calls, millisecond by millisecond, that are placed by outdated engine
// loads, and counts those that reached a busy engine.
type replay struct {
	engines  []loadshare.Load // current loads
	reported [][]loadshare.Load
	ends     map[int][]func() // completions by millisecond
	random   *rand.Rand
	busy     int // calls that found three prompts without a first event, or no free slot
	calls    int
}

const (
	reportDelay   = 15  // milliseconds until the other instances learn of a call
	prefillMillis = 120 // milliseconds until the first event of a call
	streamMillis  = 2000
)

func newReplay(engines int) *replay {
	return &replay{engines: make([]loadshare.Load, engines), ends: map[int][]func(){}, random: rand.New(rand.NewPCG(3, 4))}
}

func (r *replay) place(now int) {
	engines := testEngines(len(r.engines))
	if len(r.reported) > reportDelay {
		for i, load := range r.reported[len(r.reported)-reportDelay] {
			engines[i].Load = load
		}
	}
	call := shortCall
	call.Draw = [2]float64{r.random.Float64(), r.random.Float64()}
	plan, found := Prompt(testProfile, engines, &call)
	if !found {
		r.busy++
		return
	}
	load := &r.engines[plan.Lead]
	if load.Leading >= 3 || load.Streams >= testProfile.Slots {
		r.busy++
	}
	load.Streams++
	load.Tight++
	load.Leading++
	r.ends[now+prefillMillis] = append(r.ends[now+prefillMillis], func() { load.Leading-- })
	r.ends[now+streamMillis] = append(r.ends[now+streamMillis], func() { load.Streams--; load.Tight-- })
}

func (r *replay) run(perSecond, milliseconds int) {
	for now := range milliseconds {
		for _, end := range r.ends[now] {
			end()
		}
		r.reported = append(r.reported, append([]loadshare.Load(nil), r.engines...))
		for float64(r.calls) < float64(now)*float64(perSecond)/1000 {
			r.calls++
			r.place(now)
		}
	}
}

func TestSimultaneousCallsUseDifferentEngines(t *testing.T) {
	// 65 instances place 300 short prompts a second, and each learns of the others' calls 15 ms
	// late. Calls of the same moment see the same engine with room: if all went there, they
	// would wait for each other and their first events would be late.
	r := newReplay(78)
	r.run(300, 5000)
	if share := float64(r.busy) / float64(r.calls); share > 0.02 {
		t.Errorf("%.3f of %d calls were placed on a busy engine, want at most 0.02", share, r.calls)
	}
}

func TestABurstOfShortPromptsAfterLongOnesIsSpread(t *testing.T) {
	// The mix changes from long to short prompts while most engines still prefill for half a
	// second. The few engines with room, or with the earliest first event, look the same to all
	// instances.
	r := newReplay(60)
	for i := range r.engines {
		if i >= 12 {
			r.engines[i] = loadshare.Load{Streams: 1, PrefillTime: 500 * time.Millisecond}
		}
	}
	r.run(400, 700)
	most := 0
	for i := range r.engines {
		most = max(most, r.engines[i].Streams)
	}
	if most > testProfile.Slots+spareSlots {
		t.Errorf("an engine with %d slots has %d streams", testProfile.Slots, most)
	}
}

func TestTheFirstCallsOfABurstAreSpread(t *testing.T) {
	// Forty short prompts arrive at the same moment in an idle fleet. With hardly any running
	// streams to derive the width of the packing from, all instances would pack them onto the
	// first few engines.
	r := newReplay(78)
	for range 40 {
		r.place(0)
	}
	most := 0
	for i := range r.engines {
		most = max(most, r.engines[i].Leading)
	}
	if most > 6 {
		t.Errorf("%d of 40 prompts wait for their first event on one engine", most)
	}
}
