package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"celeryport/loadshare"
)

// replay places short calls on engines whose loads are heard of late, millisecond by
// millisecond, and counts those that met an engine that was busy with others.
type replay struct {
	engines []loadshare.Load // as they are
	heard   [][]loadshare.Load
	ends    map[int][]func() // what happens at a millisecond
	random  *rand.Rand
	busy    int // calls that met three others without a first event, or no free slot
	calls   int
}

const (
	hearingLag = 15  // milliseconds until the others know of a call
	readFor    = 120 // until its first event
	streamsFor = 2000
)

func newReplay(engines int) *replay {
	return &replay{engines: make([]loadshare.Load, engines), ends: map[int][]func(){}, random: rand.New(rand.NewPCG(3, 4))}
}

func (r *replay) place(now int) {
	engines := testEngines(len(r.engines))
	if len(r.heard) > hearingLag {
		for i, load := range r.heard[len(r.heard)-hearingLag] {
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
	r.ends[now+readFor] = append(r.ends[now+readFor], func() { load.Leading-- })
	r.ends[now+streamsFor] = append(r.ends[now+streamsFor], func() { load.Streams--; load.Tight-- })
}

func (r *replay) run(perSecond, milliseconds int) {
	for now := range milliseconds {
		for _, end := range r.ends[now] {
			end()
		}
		r.heard = append(r.heard, append([]loadshare.Load(nil), r.engines...))
		for float64(r.calls) < float64(now)*float64(perSecond)/1000 {
			r.calls++
			r.place(now)
		}
	}
}

func TestCallsOfTheSameMomentMeetDifferentEngines(t *testing.T) {
	// Sixty-five instances place 300 short prompts a second, and each hears of the
	// others' calls 15 ms late. Those of the same moment see the same engine with
	// room: they all go there, wait for each other, and their first events are late.
	r := newReplay(78)
	r.run(300, 5000)
	if share := float64(r.busy) / float64(r.calls); share > 0.02 {
		t.Errorf("%.3f of %d calls met an engine that was busy with others, want 0.02 at most", share, r.calls)
	}
}

func TestABurstOfShortPromptsAfterLongOnesIsSpread(t *testing.T) {
	// The mix turns from long to short prompts while most engines still read for half a
	// second. The few that have room, or are soonest, look the same to all instances.
	r := newReplay(60)
	for i := range r.engines {
		if i >= 12 {
			r.engines[i] = loadshare.Load{Streams: 1, Reading: 500 * time.Millisecond}
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
	// The fleet is calm, and forty short prompts come in the same moment. With hardly
	// any stream to go by, all instances would gather them on the first few engines.
	r := newReplay(78)
	for range 40 {
		r.place(0)
	}
	most := 0
	for i := range r.engines {
		most = max(most, r.engines[i].Leading)
	}
	if most > 6 {
		t.Errorf("%d of 40 prompts wait for each other at one engine", most)
	}
}
