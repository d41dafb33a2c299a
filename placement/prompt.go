package placement

import (
	"cmp"
	"slices"
	"time"

	"celeryport/settings"
)

const (
	// earlyShare is the part of the objective within which the first event is planned,
	// where engines are free; the rest is for what comes between.
	earlyShare = 0.5
	// lateShare is the part of the objective by which the first event of a long prompt
	// has to be planned; the rest is for prompts of the same moment.
	lateShare = 0.95
	// spareSlots stay free on each engine, for calls that other instances send before
	// they have heard of each other.
	spareSlots = 2
	// mostHelpers is what engines take.
	mostHelpers = 16
	// memoryUsed is the part of an engine's memory that is planned with; the rest is
	// for answers longer than stated.
	memoryUsed = 0.95
)

// Tight reports whether a stream's pauses are too short for it to share an engine
// with long reading.
func Tight(p *settings.EngineProfile, longPause time.Duration) bool {
	return longPause > 0 && longPause < loosePause(p)
}

// Prompt plans a call with a prompt. The last return is false when no engine can
// take it now; the plan then holds when to plan again, or else the soonest first
// event that is to be had.
func Prompt(p *settings.EngineProfile, engines []Engine, call *Call) (Plan, bool) {
	usable := usableEngines(engines)
	plan, found := prompt(p, engines, usable, call)
	plan.Seen = seen(engines, usable)
	return plan, found
}

func prompt(p *settings.EngineProfile, engines []Engine, usable []int, call *Call) (Plan, bool) {
	reading := Reading(p, call.Prompt)
	if reading <= shortReading(p) {
		if plan, found := pack(p, engines, usable, call, reading); found {
			return plan, true
		}
	}
	if Tight(p, call.LongPause) && reading > shortReading(p) {
		if plan, found := packInParts(p, engines, usable, call, reading); found {
			return plan, true
		}
		if awaitsParts(p, call, reading) {
			return Plan{Wait: leastWait, Part: reading, FirstEvent: reading}, false
		}
	}
	if reading > shortReading(p) {
		return spread(p, engines, usable, call, reading)
	}
	return soonest(p, engines, usable, call, reading)
}

// usableEngines lists the engines that may be taken, in their order: those that
// did not fail of late, or all that the call has not met if there are no others.
func usableEngines(engines []Engine) []int {
	usable := filter(engines, func(e *Engine) bool { return !e.Avoid && !e.Tried })
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

// soonest takes one of the engines with the earliest first events when no good one
// is left. All instances see the same ones: the very earliest get more streams than
// they have slots at a turn of the mix, while others have one.
func soonest(p *settings.EngineProfile, engines []Engine, usable []int, call *Call, reading time.Duration) (Plan, bool) {
	plan := Plan{Part: reading}
	usable = slices.DeleteFunc(slices.Clone(usable), func(i int) bool { return engines[i].HelpOnly })
	if p.MemoryTokens > 0 && call.Prompt+call.Answer > p.MemoryTokens || len(usable) == 0 {
		return Plan{Excess: call.Left}, false // no engine alone will ever take it
	}
	first := func(i int) time.Duration {
		e := engines[i]
		e.Load.Streams += spareSlots
		return firstEvent(p, &e, reading)
	}
	early := slices.SortedStableFunc(slices.Values(usable), func(a, b int) int { return cmp.Compare(first(a), first(b)) })
	early = early[:1+len(early)/soonestPart]
	a, b := drawn(early, call.Draw[0]), drawn(early, call.Draw[1])
	if first(b) < first(a) {
		a = b
	}
	plan.Lead, plan.FirstEvent = a, first(a)
	if engines[plan.Lead].Load.Streams < p.Slots {
		return within(plan, call.Left) // late for once, at an engine where nobody else is in time
	}
	return within(plan, min(call.Left, call.Objective))
}

// soonestPart is the part of the engines, one in so many, among which the soonest is
// drawn: enough that calls of the same moment seldom meet.
const soonestPart = 8

// within accepts a plan whose first event comes before a limit.
func within(plan Plan, limit time.Duration) (Plan, bool) {
	plan.Excess = max(0, plan.FirstEvent-limit)
	return plan, plan.Excess == 0
}

// Long reports whether a prompt is long: it keeps an engine from its streams.
func Long(p *settings.EngineProfile, prompt int) bool { return Reading(p, prompt) > shortReading(p) }
