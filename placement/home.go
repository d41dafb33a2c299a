package placement

import (
	"time"

	"celeryport/loadshare"
	"celeryport/settings"
)

// homeWithHelpers chooses the home and the helpers of a prompt that k engines read.
func homeWithHelpers(p *settings.EngineProfile, engines []Engine, readers []int, call *Call, part time.Duration, k int) (Plan, bool) {
	if home := homeAmong(p, engines, readers, call, part); home >= 0 {
		return Plan{Home: home, Helpers: firstOf(idleOf(engines, helpersOf(p, engines, readers, home)), k-1), Part: part}, true
	}
	return homeWithMemory(p, engines, readers, call, part, k)
}

// homeWithMemory has helpers keep a part of a prompt for which no engine has the
// memory. The home is the engine with the most of it.
func homeWithMemory(p *settings.EngineProfile, engines []Engine, readers []int, call *Call, part time.Duration, k int) (Plan, bool) {
	home := -1
	for _, i := range readers {
		if !engines[i].HelpOnly && engines[i].Load.Streams < p.Slots && (home < 0 || engines[i].Load.Held < engines[home].Load.Held) {
			home = i
		}
	}
	if home < 0 {
		return Plan{}, false
	}
	plan := Plan{Home: home, Helpers: firstOf(idleOf(engines, helpersOf(p, engines, readers, home)), k-1), Part: part}
	missing := call.Prompt + call.Answer - freeMemory(p, &engines[home])
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

// homeAmong returns the engine that answers, -1 if none has the memory and a slot.
// Long streams gather on few engines too, as long as the parts that these read are
// short enough for them; the others read without any stream to wait for them.
func homeAmong(p *settings.EngineProfile, engines []Engine, readers []int, call *Call, part time.Duration) int {
	best, bestRank := -1, 0
	for _, i := range readers {
		e := &engines[i]
		if e.HelpOnly || !fits(p, e, call) || e.Load.Streams >= p.Slots {
			continue
		}
		rank := homeRank(p, &e.Load, part)
		if best < 0 || rank < bestRank || rank == bestRank && e.Load.Reading < engines[best].Load.Reading {
			best, bestRank = i, rank
		}
	}
	return best
}

// homeRank orders engines as homes of long streams; the lowest is the best.
func homeRank(p *settings.EngineProfile, load *loadshare.Load, part time.Duration) int {
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
