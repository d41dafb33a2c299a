package placement

import (
	"time"

	"celeryport/loadshare"
	"celeryport/settings"
)

// leadWithHelpers chooses the lead engine and the helpers for a prompt that is split over k
// engines.
func leadWithHelpers(p *settings.EngineProfile, engines []Engine, candidates []int, call *Call, part time.Duration, k int) (Plan, bool) {
	if lead := bestLead(p, engines, candidates, call, part); lead >= 0 {
		return Plan{Lead: lead, Helpers: firstN(withoutLooseStreams(engines, eligibleHelpers(p, engines, candidates, lead)), k-1), Part: part}, true
	}
	return leadWithMemory(p, engines, candidates, call, part, k)
}

// leadWithMemory is used when no engine has enough memory for the whole prompt: the helpers keep
// parts of it. The lead is the engine with the most free memory.
func leadWithMemory(p *settings.EngineProfile, engines []Engine, candidates []int, call *Call, part time.Duration, k int) (Plan, bool) {
	lead := -1
	for _, i := range candidates {
		if !engines[i].HelpOnly && engines[i].Load.Streams < p.Slots && (lead < 0 || engines[i].Load.Held < engines[lead].Load.Held) {
			lead = i
		}
	}
	if lead < 0 {
		return Plan{}, false
	}
	plan := Plan{Lead: lead, Helpers: firstN(withoutLooseStreams(engines, eligibleHelpers(p, engines, candidates, lead)), k-1), Part: part}
	missing := call.Prompt + call.Answer - freeMemory(p, &engines[lead])
	for _, i := range plan.Helpers {
		free := freeMemory(p, &engines[i])
		if missing <= 0 || free < minPartTokens(p) {
			continue
		}
		tokens := min(missing, free)
		plan.Reserved = append(plan.Reserved, Reserved{Engine: i, Tokens: tokens})
		missing -= tokens
	}
	return plan, missing <= 0
}

// freeMemory returns how many tokens of memory may still be allocated on an engine.
func freeMemory(p *settings.EngineProfile, e *Engine) int {
	return max(0, int(plannedMemoryFraction*float64(p.MemoryTokens))-e.Load.Held)
}

// fitsMemory reports whether an engine has enough free memory for a call.
func fitsMemory(p *settings.EngineProfile, e *Engine, call *Call) bool {
	return float64(e.Load.Held+call.Prompt+call.Answer) <= plannedMemoryFraction*float64(p.MemoryTokens)
}

// bestLead returns the engine that decodes the answer, or -1 if none has the memory and a slot.
// Streams that tolerate long pauses are packed onto few engines too, as long as the parts
// prefilled there are short enough for them; the other engines then prefill without delaying any
// stream.
func bestLead(p *settings.EngineProfile, engines []Engine, candidates []int, call *Call, part time.Duration) int {
	best, bestRank := -1, 0
	for _, i := range candidates {
		e := &engines[i]
		if e.HelpOnly || !fitsMemory(p, e, call) || e.Load.Streams >= p.Slots {
			continue
		}
		rank := leadRank(p, &e.Load, part)
		if best < 0 || rank < bestRank || rank == bestRank && e.Load.PrefillTime < engines[best].Load.PrefillTime {
			best, bestRank = i, rank
		}
	}
	return best
}

// leadRank ranks an engine as the lead of a stream with long pauses; lower is better.
func leadRank(p *settings.EngineProfile, load *loadshare.Load, part time.Duration) int {
	switch {
	case load.Tight > 0:
		return 3
	case load.PrefillTime+part > minLoosePause(p):
		return 2
	case load.Streams == 0:
		return 1
	default:
		return 0
	}
}

func firstN(list []int, n int) []int { return list[:min(n, len(list))] }
