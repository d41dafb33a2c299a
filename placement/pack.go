package placement

import (
	"time"

	"celeryport/settings"
)

// packShort places a short prompt on one of the engines onto which tight streams are packed.
func packShort(p *settings.EngineProfile, engines []Engine, usable []int, call *Call, prefill time.Duration) (Plan, bool) {
	lead, found := packingLead(p, engines, usable, call, prefill)
	if !found {
		return Plan{}, false
	}
	return Plan{Lead: lead, Part: prefill, FirstEvent: predictFirstEvent(p, &engines[lead], prefill)}, true
}

// packSplit places a tight stream on an engine that is kept free of long prefill, and has
// helpers prefill most of its prompt: as many parts as it takes to make the lead engine's part
// short.
func packSplit(p *settings.EngineProfile, engines []Engine, usable []int, call *Call, prefill time.Duration) (Plan, bool) {
	candidates := prefillOrder(engines, startOrder(usable, call))
	early := time.Duration(earlyFraction * float64(call.Objective))
	best := Plan{}
	for k := 2; k <= min(len(candidates)+1, maxHelpers+1, call.Prompt/minPartTokens(p)); k++ {
		part := prefill / time.Duration(k)
		lead, found := packingLead(p, engines, usable, call, part)
		if !found {
			continue
		}
		helpers := partHelpers(p, engines, candidates, lead)
		if len(helpers) < k-1 {
			break
		}
		first := engines[lead].Load.PrefillTime + part + 2*passTime(p, engines[lead].Load.Streams+1)
		if best.Part == 0 || first < best.FirstEvent {
			best = Plan{Lead: lead, Helpers: helpers[:k-1], Part: part, FirstEvent: first}
		}
		if first <= early {
			break
		}
	}
	return best, best.Part > 0 && best.FirstEvent <= call.Objective
}

// shouldAwaitHelpers reports whether a tight stream should wait if no engines are available to
// prefill its prompt in short parts. If it were prefilled beside long prompts, its own events
// would be late.
func shouldAwaitHelpers(p *settings.EngineProfile, call *Call, prefill time.Duration) bool {
	divisible := prefill <= (maxHelpers+1)*maxShortPrefill(p)
	return divisible && call.Waited < time.Duration(earlyFraction*float64(call.Objective))
}

func hasRoom(p *settings.EngineProfile, e *Engine, call *Call) bool {
	return e.Load.Streams < p.Slots-spareSlots && fitsMemory(p, e, call)
}
