package placement

import (
	"time"

	"celeryport/settings"
)

// pack puts a short prompt on one of the engines where short streams gather.
func pack(p *settings.EngineProfile, engines []Engine, usable []int, call *Call, reading time.Duration) (Plan, bool) {
	home, found := packHome(p, engines, usable, call, reading)
	if !found {
		return Plan{}, false
	}
	return Plan{Home: home, Part: reading, FirstEvent: firstEvent(p, &engines[home], reading)}, true
}

// packInParts puts a stream with tight pauses on an engine that is kept free of
// long reading, and has engines without such streams read most of its prompt: as
// many parts as make its own part short.
func packInParts(p *settings.EngineProfile, engines []Engine, usable []int, call *Call, reading time.Duration) (Plan, bool) {
	lane := quiet(engines, laneOf(p, engines, usable))
	early := time.Duration(earlyShare * float64(call.Objective))
	best := Plan{}
	for k := 2; k <= min(len(lane)+1, mostHelpers+1, call.Prompt/leastPart); k++ {
		part := reading / time.Duration(k)
		home, found := packHome(p, engines, usable, call, part)
		if !found {
			continue
		}
		helpers := helpersOf(p, engines, lane, home)
		if len(helpers) < k-1 {
			break
		}
		first := engines[home].Load.Reading + part + 2*passOf(p, engines[home].Load.Streams+1)
		if best.Part == 0 || first < best.FirstEvent {
			best = Plan{Home: home, Helpers: helpers[:k-1], Part: part, FirstEvent: first}
		}
		if first <= early {
			break
		}
	}
	return best, best.Part > 0 && best.FirstEvent <= call.Objective
}

// quiet keeps the engines without tight streams.
func quiet(engines []Engine, lane []int) []int {
	kept := make([]int, 0, len(lane))
	for _, i := range lane {
		if engines[i].Load.Tight == 0 {
			kept = append(kept, i)
		}
	}
	return kept
}

func withoutHome(lane []int, home int) []int {
	kept := make([]int, 0, len(lane))
	for _, i := range lane {
		if i != home {
			kept = append(kept, i)
		}
	}
	return kept
}

func hasRoom(p *settings.EngineProfile, e *Engine, call *Call) bool {
	return e.Load.Streams < p.Slots-spareSlots && fits(p, e, call)
}
