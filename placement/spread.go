package placement

import (
	"slices"
	"time"

	"celeryport/loadshare"
	"celeryport/settings"
)

// spread has a long prompt read in even parts by engines that read nothing else.
// The time until its first event falls with their number, while the work stays the
// same; but each tight stream beside a part that is not short is late from then on.
// So it takes as many engines as cost least, those without tight streams first.
//
// Engines read the part that came last before the others. One that gets a second
// part leaves the first one waiting, and with it a prompt that is read everywhere
// else: with parts put on busy engines, prompts predicted to be read after 0.3 to
// 0.9 s were read after 2 to 10 s at four times the usual load, the oldest last. So
// a prompt waits here until enough engines are free.
//
// With only engines without tight streams allowed, a few of these that met a long
// prompt kept their engines out for many seconds, since they hardly moved on;
// prompts of 160,000 tokens were read by 1.0 to 1.6 engines then instead of 13.
func spread(p *settings.EngineProfile, engines []Engine, usable []int, call *Call, reading time.Duration) (Plan, bool) {
	readers := readersOf(p, engines, usable)
	limit := limitOf(call)
	plan, found := spreadNow(p, engines, freeOf(p, engines, readers), call, reading)
	if found && plan.FirstEvent <= limit {
		return plan, true
	}
	if Overdue(call) {
		return Plan{FirstEvent: reading, Excess: call.Left}, false // it would wait behind all that can be in time
	}
	return later(p, engines, readers, call, reading, limit)
}

// limitOf returns by when the first event of a long prompt has to come. A call that
// was turned away before, and is late already, may come late if engines are free: its
// caller has waited in vain once. It does not wait for them: calls that did were still
// waiting when their callers gave up.
func limitOf(call *Call) time.Duration {
	inTime := time.Duration(lateShare*float64(call.Objective)) - call.Waited
	if Overdue(call) {
		return time.Duration(overdueShare * float64(call.Left))
	}
	return min(call.Left, inTime)
}

// Overdue reports whether a call can't be answered in time any more when it comes.
func Overdue(call *Call) bool { return call.Age > time.Duration(overdueAge*float64(call.Objective)) }

// spreadNow plans a long prompt on free engines.
func spreadNow(p *settings.EngineProfile, engines []Engine, free []int, call *Call, reading time.Duration) (Plan, bool) {
	most := min(len(free), mostHelpers+1, max(1, call.Prompt/leastPart(p)))
	best, least := Plan{}, 0.0
	for k := 1; k <= most; k++ {
		part := reading / time.Duration(k)
		candidate, found := homeWithHelpers(p, engines, free, call, part, k)
		if !found {
			continue
		}
		if len(candidate.Helpers) < k-1 {
			break
		}
		cost := spreadCost(p, engines, candidate.Home, candidate.Helpers, call, part)
		if best.Part == 0 || cost < least {
			best, least = candidate, cost
		}
	}
	if best.Part == 0 {
		return Plan{}, false
	}
	best.FirstEvent = best.Part + 2*passOf(p, engines[best.Home].Load.Streams+1)
	return best, least <= harmWorth*valueOf(call)
}

// later finds out when enough engines will have read what they have for a prompt
// to be read by the limit. Without such a moment the call is hopeless.
func later(p *settings.EngineProfile, engines []Engine, readers []int, call *Call, reading, limit time.Duration) (Plan, bool) {
	ends := make([]time.Duration, 0, len(readers))
	for _, i := range readers {
		ends = append(ends, engines[i].Load.Reading+call.Ahead)
	}
	slices.Sort(ends)
	plan := Plan{Part: reading, FirstEvent: soonestOf(ends) + reading}
	for at, end := range ends {
		readers := min(at+1, mostHelpers+1)
		first := end + reading/time.Duration(readers) + 2*passOf(p, 1)
		if first < plan.FirstEvent {
			plan.Part, plan.FirstEvent = reading/time.Duration(readers), first
		}
		if first <= limit {
			plan.Wait = max(leastWait, end)
			return plan, false
		}
	}
	plan.Excess = max(0, plan.FirstEvent-limit)
	return plan, false
}

func soonestOf(ends []time.Duration) time.Duration {
	if len(ends) == 0 {
		return 0
	}
	return ends[0]
}

// valueOf is what an answer in time is worth, in tokens of the prompt.
func valueOf(call *Call) float64 { return float64(call.Prompt + answerValue*call.Answer) }

// spreadCost is what it costs, in tokens, that a call is late and makes others
// late when these engines read its parts.
func spreadCost(p *settings.EngineProfile, engines []Engine, home int, helpers []int, call *Call, part time.Duration) float64 {
	value := valueOf(call)
	cost := harmOf(p, &engines[home].Load, part, value)
	for _, i := range helpers {
		cost += harmOf(p, &engines[i].Load, part, value)
	}
	first := float64(call.Waited+part) / float64(max(call.Objective, time.Millisecond))
	// What is planned for the end of the objective is often late: prompts of other
	// instances come between.
	risk := min(1, max(0, (first-earlyShare)/(1-earlyShare)))
	return cost + value*(risk+hasteShare*first)
}

// harmOf is what it costs that the streams of an engine wait for a part. Those
// that wait for more already are late anyhow. The other long streams count like the
// call itself.
func harmOf(p *settings.EngineProfile, load *loadshare.Load, part time.Duration, value float64) float64 {
	harm := 0.0
	if load.Reading <= tightPart(p) && load.Reading+part > tightPart(p) {
		harm += float64(load.Tight) * tightValue(p)
	}
	if load.Reading <= loosePause(p) && load.Reading+part > loosePause(p) {
		harm += float64(loose(load)) * value
	}
	return harm
}

const (
	// overdueAge is the part of the objective after which a call that comes back is
	// overdue: what is left is seldom enough for the queue and the reading. Chosen, no
	// other value was tried.
	overdueAge = 0.6
	// overdueShare is the part of its time by which an overdue call has to be planned;
	// the rest is for its stream. Chosen, no other value was tried.
	overdueShare = 0.5
	// leastWait is the least pause before a waiting prompt is planned again, about as
	// long as it takes until the others have heard of a change.
	leastWait = 10 * time.Millisecond
	// harmWorth is the part of its own value that a prompt may cost others; beyond that
	// it waits. Without a bound, prompts that came just after many short ones were read
	// beside these: passes took up to 2 s, and 280 of 4,180 callers gave up in the
	// middle of their streams. Tried 0.6 and 1.2: the longest kind 0.63 and 0.69, the
	// short ones 0.92 and 0.89.
	harmWorth = 1.2
	// answerValue is what a token of the answer is worth in tokens of the prompt.
	answerValue = 10
	// hasteShare is the part of a call's value that a first event just in time costs
	// against one at once; it only decides between plans that are equal otherwise.
	hasteShare = 0.1
)
