package placement

import (
	"cmp"
	"slices"
	"time"

	"celeryport/settings"
)

const (
	// earlyFraction is the fraction of the objective within which the first event is planned
	// while engines are free; the rest is a margin for prompts placed meanwhile.
	earlyFraction = 0.5
	// latestFraction is the fraction of the objective within which the first event of a long
	// prompt has to be planned; the rest is a margin for prompts placed at the same moment.
	latestFraction = 0.95
	// spareSlots is the number of slots kept free on each engine for calls that other instances
	// place before they learn of each other's.
	spareSlots = 2
	// maxHelpers is the maximum number of helpers that engines accept for one prompt.
	maxHelpers = 16
	// plannedMemoryFraction is the fraction of an engine's memory that plans may use; the rest
	// is for answers longer than stated.
	plannedMemoryFraction = 0.95
)

// Tight reports whether the pauses that a stream allows are too short for it to share an engine
// with long prefill.
func Tight(p *settings.EngineProfile, longPause time.Duration) bool {
	return longPause > 0 && longPause < minLoosePause(p)
}

// Prompt plans a call with a prompt. It returns false if no engine can accept the call now; the
// plan then says when to plan again, or else the earliest possible first event.
func Prompt(p *settings.EngineProfile, engines []Engine, call *Call) (Plan, bool) {
	usable := usableEngines(engines)
	plan, found := planAvoidingFrail(p, engines, usable, call)
	plan.Seen = summarise(engines, usable)
	return plan, found
}

func planPrompt(p *settings.EngineProfile, engines []Engine, usable []int, call *Call) (Plan, bool) {
	prefill := PrefillTime(p, call.Prompt)
	if prefill <= maxShortPrefill(p) {
		if plan, found := packShort(p, engines, usable, call, prefill); found {
			return plan, true
		}
	}
	if Tight(p, call.LongPause) && prefill > maxShortPrefill(p) {
		if plan, found := packSplit(p, engines, usable, call, prefill); found {
			return plan, true
		}
		if shouldAwaitHelpers(p, call, prefill) {
			return Plan{Wait: minWait, Part: prefill, FirstEvent: prefill}, false
		}
	}
	if prefill > maxShortPrefill(p) {
		return spread(p, engines, usable, call, prefill)
	}
	return planEarliest(p, engines, usable, call, prefill)
}

// usableEngines returns the usable engines sorted by Order: those that haven't failed recently; if
// there are none, those that don't fail more than others; or else all that haven't received the call
// yet.
func usableEngines(engines []Engine) []int {
	usable := filter(engines, func(e *Engine) bool { return !e.Avoid && !e.Tried })
	if len(usable) == 0 {
		usable = filter(engines, func(e *Engine) bool { return !e.Failing && !e.Tried })
	}
	if len(usable) == 0 {
		usable = filter(engines, func(e *Engine) bool { return !e.Tried })
	}
	slices.SortFunc(usable, func(a, b int) int {
		if engines[a].Order < engines[b].Order {
			return -1
		}
		return 1
	})
	return usable
}

func filter(engines []Engine, wanted func(*Engine) bool) []int {
	found := make([]int, 0, len(engines))
	for i := range engines {
		if wanted(&engines[i]) {
			found = append(found, i)
		}
	}
	return found
}

// planEarliest is the fallback if no engine suits: it picks one of the engines with the earliest
// first events. All instances rank the engines alike: if they always took the very first one, it
// would get more streams than it has slots when the mix of prompts changes, while other engines
// still have free slots.
func planEarliest(p *settings.EngineProfile, engines []Engine, usable []int, call *Call, prefill time.Duration) (Plan, bool) {
	plan := Plan{Part: prefill}
	usable = slices.DeleteFunc(slices.Clone(usable), func(i int) bool { return engines[i].HelpOnly })
	if p.MemoryTokens > 0 && call.Prompt+call.Answer > p.MemoryTokens || len(usable) == 0 {
		return Plan{Excess: call.Remaining}, false // no engine alone can ever hold it
	}
	first := func(i int) time.Duration {
		e := engines[i]
		e.Load.Streams += spareSlots
		return predictFirstEvent(p, &e, prefill)
	}
	early := slices.SortedStableFunc(slices.Values(usable), func(a, b int) int { return cmp.Compare(first(a), first(b)) })
	early = early[:1+len(early)/earliestDivisor]
	a, b := pick(early, call.Draw[0]), pick(early, call.Draw[1])
	if first(b) < first(a) {
		a = b
	}
	plan.Lead, plan.FirstEvent = a, first(a)
	if engines[plan.Lead].Load.Streams < p.Slots {
		return acceptWithin(plan, call.Remaining) // late, but on an engine where no other call would be in time
	}
	return acceptWithin(plan, min(call.Remaining, call.Objective))
}

// earliestDivisor sets the group from which planEarliest picks: one in so many engines, enough
// that calls of the same moment rarely pick the same one.
const earliestDivisor = 8

// acceptWithin accepts a plan if its first event comes within the limit.
func acceptWithin(plan Plan, limit time.Duration) (Plan, bool) {
	plan.Excess = max(0, plan.FirstEvent-limit)
	return plan, plan.Excess == 0
}

// Long reports whether a prompt is long, which means that its prefill delays tight streams.
func Long(p *settings.EngineProfile, prompt int) bool {
	return PrefillTime(p, prompt) > maxShortPrefill(p)
}
