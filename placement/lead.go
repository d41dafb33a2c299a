package placement

import (
	"time"

	"celeryport/loadshare"
	"celeryport/settings"
)

// leadWithHelpers chooses the lead engine and the helpers of a prompt that k engines read.
func leadWithHelpers(p *settings.EngineProfile, engines []Engine, readers []int, call *Call, part time.Duration, k int) (Plan, bool) {
	if lead := leadAmong(p, engines, readers, call, part); lead >= 0 {
		return Plan{Lead: lead, Helpers: firstOf(idleOf(engines, helpersOf(p, engines, readers, lead)), k-1), Part: part}, true
	}
	return leadWithMemory(p, engines, readers, call, part, k)
}

// leadWithMemory has helpers keep a part of a prompt for which no engine has the
// memory. The lead engine is the one with the most of it.
func leadWithMemory(p *settings.EngineProfile, engines []Engine, readers []int, call *Call, part time.Duration, k int) (Plan, bool) {
	lead := -1
	for _, i := range readers {
		if !engines[i].HelpOnly && engines[i].Load.Streams < p.Slots && (lead < 0 || engines[i].Load.Held < engines[lead].Load.Held) {
			lead = i
		}
	}
	if lead < 0 {
		return Plan{}, false
	}
	plan := Plan{Lead: lead, Helpers: firstOf(idleOf(engines, helpersOf(p, engines, readers, lead)), k-1), Part: part}
	missing := call.Prompt + call.Answer - freeMemory(p, &engines[lead])
	for _, i := range plan.Helpers {
		free := freeMemory(p, &engines[i])
		if missing <= 0 || free < leastPart(p) {
			continue
		}
		tokens := min(missing, free)
		plan.Reserved = append(plan.Reserved, Reserved{Engine: i, Tokens: tokens})
		missing -= tokens
	}
	return plan, missing <= 0
}

// freeMemory is what may still be planned with at an engine.
func freeMemory(p *settings.EngineProfile, e *Engine) int {
	return max(0, int(memoryUsed*float64(p.MemoryTokens))-e.Load.Held)
}

// fits reports whether a call's memory is free.
func fits(p *settings.EngineProfile, e *Engine, call *Call) bool {
	return float64(e.Load.Held+call.Prompt+call.Answer) <= memoryUsed*float64(p.MemoryTokens)
}

// leadAmong returns the engine that answers, -1 if none has the memory and a slot.
// Long streams gather on few engines too, as long as the parts that these read are
// short enough for them; the others read without any stream to wait for them.
func leadAmong(p *settings.EngineProfile, engines []Engine, readers []int, call *Call, part time.Duration) int {
	best, bestRank := -1, 0
	for _, i := range readers {
		e := &engines[i]
		if e.HelpOnly || !fits(p, e, call) || e.Load.Streams >= p.Slots {
			continue
		}
		rank := leadRank(p, &e.Load, part)
		if best < 0 || rank < bestRank || rank == bestRank && e.Load.Reading < engines[best].Load.Reading {
			best, bestRank = i, rank
		}
	}
	return best
}

// leadRank orders engines as lead engines of long streams; the lowest is the best.
func leadRank(p *settings.EngineProfile, load *loadshare.Load, part time.Duration) int {
	switch {
	case load.Tight > 0:
		return 3
	case load.Reading+part > loosePause(p):
		return 2
	case load.Streams == 0:
		return 1
	default:
		return 0
	}
}

func firstOf(list []int, n int) []int { return list[:min(n, len(list))] }
