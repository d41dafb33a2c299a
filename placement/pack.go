package placement

import (
	"time"

	"celeryport/settings"
)

// pack puts a short prompt on one of the engines where short streams gather.
func pack(p *settings.EngineProfile, engines []Engine, usable []int, call *Call, reading time.Duration) (Plan, bool) {
	lead, found := gatherLead(p, engines, usable, call, reading)
	if !found {
		return Plan{}, false
	}
	return Plan{Lead: lead, Part: reading, FirstEvent: firstEvent(p, &engines[lead], reading)}, true
}

// packInParts puts a stream with tight pauses on an engine that is kept free of
// long reading, and has readers read most of its prompt: as many parts as make its own
// part short.
func packInParts(p *settings.EngineProfile, engines []Engine, usable []int, call *Call, reading time.Duration) (Plan, bool) {
	readers := readersOf(engines, usable)
	early := time.Duration(earlyShare * float64(call.Objective))
	best := Plan{}
	for k := 2; k <= min(len(readers)+1, mostHelpers+1, call.Prompt/leastPart(p)); k++ {
		part := reading / time.Duration(k)
		lead, found := gatherLead(p, engines, usable, call, part)
		if !found {
			continue
		}
		helpers := partHelpers(p, engines, readers, lead)
		if len(helpers) < k-1 {
			break
		}
		first := engines[lead].Load.Reading + part + 2*passOf(p, engines[lead].Load.Streams+1)
		if best.Part == 0 || first < best.FirstEvent {
			best = Plan{Lead: lead, Helpers: helpers[:k-1], Part: part, FirstEvent: first}
		}
		if first <= early {
			break
		}
	}
	return best, best.Part > 0 && best.FirstEvent <= call.Objective
}

// awaitsParts reports whether a tight stream that found no engines to read its prompt
// in short parts should wait for some. Read beside long prompts, its own events come
// too late.
func awaitsParts(p *settings.EngineProfile, call *Call, reading time.Duration) bool {
	divisible := reading <= (mostHelpers+1)*shortReading(p)
	return divisible && call.Waited < time.Duration(earlyShare*float64(call.Objective))
}

func hasRoom(p *settings.EngineProfile, e *Engine, call *Call) bool {
	return e.Load.Streams < p.Slots-spareSlots && fits(p, e, call)
}
