package placement

import (
	"cmp"
	"slices"
	"time"

	"celeryport/loadshare"
	"celeryport/settings"
)

const (
	// shortReading is the most reading that may wait at an engine with tight streams,
	// a new prompt included: with the pass of 45 ms it stays below the shortest pause
	// that callers count as in time, 250 ms.
	shortReading = 100 * time.Millisecond
	// loosePause is the least pause with which a stream may share an engine with long
	// reading. Passes there took 0.5 to 0.7 s for nine in ten prompts of 180,000
	// tokens that twelve engines read, and up to 1.6 s.
	loosePause = 800 * time.Millisecond
	// looseReading is the most reading that may wait at an engine with long streams,
	// whose events may pause for a second.
	looseReading = 800 * time.Millisecond
	// earlyShare is the part of the objective within which the first event is planned,
	// where engines are free; the rest is for what comes between.
	earlyShare = 0.5
	// lateShare is the part of the objective up to which a long prompt is taken.
	lateShare = 0.6
	// spareSlots stay free on each engine, for calls that other instances send before
	// they have heard of each other.
	spareSlots = 2
	// leastPart is the smallest part of a prompt that is worth another engine: two
	// pieces as engines read them.
	leastPart = 4096
	// mostHelpers is what engines take.
	mostHelpers = 16
	// memoryUsed is the part of an engine's memory that is planned with; the rest is
	// for answers longer than stated.
	memoryUsed = 0.95
)

// Tight reports whether a stream's pauses are too short for it to share an engine
// with long reading.
func Tight(longPause time.Duration) bool { return longPause > 0 && longPause < loosePause }

// Prompt plans a call with a prompt. The last return is false when no engine can
// take it; the plan then holds the soonest first event that is to be had.
func Prompt(p *settings.EngineProfile, engines []Engine, call *Call) (Plan, bool) {
	reading := Reading(p, call.Prompt)
	usable := usableEngines(engines)
	if reading <= shortReading {
		if plan, found := pack(p, engines, usable, call, reading); found {
			return plan, true
		}
	}
	if Tight(call.LongPause) && reading > shortReading {
		if plan, found := packInParts(p, engines, usable, call, reading); found {
			return plan, true
		}
	}
	plan, found := spread(p, engines, usable, call, reading)
	if found && reading > shortReading {
		return within(plan, min(call.Left, time.Duration(lateShare*float64(call.Objective))))
	}
	if found && plan.FirstEvent <= call.Objective {
		return plan, true
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

// pack puts a short prompt on the first engine that serves it in time. All
// instances agree on the order, so that the short ones gather and leave whole
// engines to long prompts; how many they need follows from the load by itself.
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
		helpers := withoutHome(lane, home)
		if len(helpers) < k-1 {
			break
		}
		latest := max(engines[home].Load.Reading, engines[helpers[k-2]].Load.Reading) + part
		first := latest + 2*passOf(p, engines[home].Load.Streams+1)
		if best.Part == 0 || first < best.FirstEvent {
			best = Plan{Home: home, Helpers: helpers[:k-1], Part: part, FirstEvent: first}
		}
		if first <= early {
			break
		}
	}
	return best, best.Part > 0 && best.FirstEvent <= call.Objective
}

// packHome returns the first engine in the order that has room for a stream and
// its part of the reading.
func packHome(p *settings.EngineProfile, engines []Engine, usable []int, call *Call, part time.Duration) (int, bool) {
	for _, i := range usable {
		if e := &engines[i]; hasRoom(p, e, call) && e.Load.Reading+part <= shortReading {
			return i, true
		}
	}
	return 0, false
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

func hasRoom(p *settings.EngineProfile, e *Engine, call *Call) bool {
	return e.Load.Streams < p.Slots-spareSlots && fits(p, e, call)
}

// fits reports whether a call's memory is free.
func fits(p *settings.EngineProfile, e *Engine, call *Call) bool {
	return float64(e.Load.Held+call.Prompt+call.Answer) <= memoryUsed*float64(p.MemoryTokens)
}

// spread has a long prompt read in even parts. The time until its first event
// falls with their number, while the work stays the same; but each tight stream
// beside a part that is not short is late from then on. So it takes as many engines
// as cost least, those without tight streams first.
//
// With only such engines allowed, a few tight streams that met a long prompt kept
// their engines out for many seconds, since they hardly moved on; prompts of
// 160,000 tokens were read by 1.0 to 1.6 engines then instead of 13.
func spread(p *settings.EngineProfile, engines []Engine, usable []int, call *Call, reading time.Duration) (Plan, bool) {
	lane := laneOf(p, engines, usable)
	if len(lane) == 0 {
		return Plan{}, false
	}
	most := min(len(lane), mostHelpers+1, max(1, call.Prompt/leastPart))
	best, least := Plan{}, 0.0
	for k := 1; k <= most; k++ {
		part := reading / time.Duration(k)
		candidate, found := gather(p, engines, lane, call, part, k)
		if !found {
			continue
		}
		cost := spreadCost(engines, candidate.Home, candidate.Helpers, call, part)
		if best.Part == 0 || cost < least {
			best, least = candidate, cost
		}
	}
	if best.Part == 0 {
		return Plan{}, false
	}
	best.FirstEvent = latestOf(engines, best.Home, best.Helpers) + best.Part + 2*passOf(p, engines[best.Home].Load.Streams+1)
	return best, true
}

// gather chooses the home and the helpers of a prompt that k engines read.
func gather(p *settings.EngineProfile, engines []Engine, lane []int, call *Call, part time.Duration, k int) (Plan, bool) {
	if home := homeAmong(p, engines, lane, call, part); home >= 0 {
		return Plan{Home: home, Helpers: withoutHome(lane, home)[:k-1], Part: part}, true
	}
	return gatherMemory(p, engines, lane, call, part, k)
}

// gatherMemory has helpers keep a part of a prompt for which no engine has the
// memory. The home is the engine with the most of it.
func gatherMemory(p *settings.EngineProfile, engines []Engine, lane []int, call *Call, part time.Duration, k int) (Plan, bool) {
	home := -1
	for _, i := range lane {
		if engines[i].Load.Streams < p.Slots && (home < 0 || engines[i].Load.Held < engines[home].Load.Held) {
			home = i
		}
	}
	if home < 0 {
		return Plan{}, false
	}
	plan := Plan{Home: home, Helpers: withoutHome(lane, home)[:k-1], Part: part}
	missing := call.Prompt + call.Answer - freeMemory(p, &engines[home])
	for _, i := range plan.Helpers {
		free := freeMemory(p, &engines[i])
		if missing <= 0 || free < leastPart {
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

const (
	// tightValue is what a tight stream is worth, in tokens: the usual prompt of 5,000
	// and ten for each of some 1,300 tokens of the answer.
	tightValue = 18_000
	// answerValue is what a token of the answer is worth in tokens of the prompt.
	answerValue = 10
	// hasteShare is the part of a call's value that a first event just in time costs
	// against one at once; it only decides between plans that are equal otherwise.
	hasteShare = 0.1
)

// spreadCost is what it costs, in tokens, that a call is late and makes others
// late when these engines read its parts.
func spreadCost(engines []Engine, home int, helpers []int, call *Call, part time.Duration) float64 {
	value := float64(call.Prompt + answerValue*call.Answer)
	cost := harmOf(&engines[home].Load, part, value)
	for _, i := range helpers {
		cost += harmOf(&engines[i].Load, part, value)
	}
	first := float64(latestOf(engines, home, helpers)+part) / float64(max(call.Objective, time.Millisecond))
	// What is planned for the end of the objective is often late: prompts of other
	// instances come between.
	risk := min(1, max(0, (first-earlyShare)/(1-earlyShare)))
	return cost + value*(risk+hasteShare*first)
}

// harmOf is what it costs that the streams of an engine wait for a part. Those
// that wait for more already are late anyhow. The other long streams count like the
// call itself.
func harmOf(load *loadshare.Load, part time.Duration, value float64) float64 {
	harm := 0.0
	if load.Reading <= shortReading && load.Reading+part > shortReading {
		harm += float64(load.Tight) * tightValue
	}
	if load.Reading <= looseReading && load.Reading+part > looseReading {
		harm += float64(load.Streams-load.Tight) * value
	}
	return harm
}

// latestOf returns the most reading that waits at one of the engines.
func latestOf(engines []Engine, home int, helpers []int) time.Duration {
	latest := engines[home].Load.Reading
	for _, i := range helpers {
		latest = max(latest, engines[i].Load.Reading)
	}
	return latest
}

// laneOf lists the engines that may read long prompts: those with the fewest tight
// streams first, and of them those with the least to read. One without any is left
// to short prompts when those have no room elsewhere: they can't wait for the end
// of a long one.
func laneOf(p *settings.EngineProfile, engines []Engine, usable []int) []int {
	lane := make([]int, 0, len(usable))
	room, kept := false, -1
	for _, i := range usable {
		e := &engines[i]
		lane = append(lane, i)
		switch {
		case e.Load.Tight > 0:
			room = room || e.Load.Streams < p.Slots-spareSlots && e.Load.Reading < shortReading
		case kept < 0:
			kept = i
		}
	}
	if !room && kept >= 0 && len(lane) > 1 {
		lane = withoutHome(lane, kept)
	}
	slices.SortStableFunc(lane, func(a, b int) int {
		x, y := &engines[a].Load, &engines[b].Load
		return cmp.Or(cmp.Compare(x.Tight, y.Tight), cmp.Compare(x.Streams, y.Streams), cmp.Compare(x.Reading, y.Reading))
	})
	return lane
}

// homeAmong returns the engine that answers, -1 if none has the memory and a slot.
// Long streams gather on few engines too, as long as the parts that these read are
// short enough for them; the others read without any stream to wait for them.
func homeAmong(p *settings.EngineProfile, engines []Engine, lane []int, call *Call, part time.Duration) int {
	best, bestRank := -1, 0
	for _, i := range lane {
		e := &engines[i]
		if !fits(p, e, call) || e.Load.Streams >= p.Slots {
			continue
		}
		rank := homeRank(&e.Load, part)
		if best < 0 || rank < bestRank || rank == bestRank && e.Load.Reading < engines[best].Load.Reading {
			best, bestRank = i, rank
		}
	}
	return best
}

// homeRank orders engines as homes of long streams; the lowest is the best.
func homeRank(load *loadshare.Load, part time.Duration) int {
	switch {
	case load.Tight > 0:
		return 3
	case load.Reading+part > looseReading:
		return 2
	case load.Streams == 0:
		return 1
	default:
		return 0
	}
}

// soonest takes the engine with the earliest first event when no good one is left.
func soonest(p *settings.EngineProfile, engines []Engine, usable []int, call *Call, reading time.Duration) (Plan, bool) {
	plan, found := Plan{Part: reading}, false
	if p.MemoryTokens > 0 && call.Prompt+call.Answer > p.MemoryTokens {
		return Plan{Excess: call.Left}, false // no engine alone will ever take it
	}
	for _, i := range usable {
		at := firstEvent(p, &engines[i], reading)
		if !found || at < plan.FirstEvent {
			plan.Home, plan.FirstEvent, found = i, at, true
		}
	}
	if !found {
		return Plan{Excess: call.Left}, false
	}
	if engines[plan.Home].Load.Streams < p.Slots {
		return within(plan, call.Left) // late for once, at an engine where nobody else is in time
	}
	return within(plan, min(call.Left, call.Objective))
}

// within accepts a plan whose first event comes before a limit.
func within(plan Plan, limit time.Duration) (Plan, bool) {
	plan.Excess = max(0, plan.FirstEvent-limit)
	return plan, plan.Excess == 0
}
