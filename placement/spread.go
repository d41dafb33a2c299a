package placement

import (
	"slices"
	"time"

	"celeryport/settings"
)

// spread has a long prompt read in even parts by engines that read nothing else.
// The time until its first event falls with their number, while the work stays the
// same; but each tight stream beside a part that is not short is late from then on.
// So it takes as many engines as cost least.
//
// Engines read the part that came last before the others. One that gets a second
// part leaves the first one waiting, and with it a prompt that is read everywhere
// else: under load, prompts are then read many times later than predicted, the oldest
// last. So a prompt waits here until enough engines are free for parts that no stream
// feels.
// In the burst of long prompts after one of short ones each engine has some streams
// with short pauses: all together read a usual long prompt between two events of each.
// With harm allowed from the start, many such prompts are read by one engine alone,
// whose streams stand still meanwhile. So only when its time gets short a prompt is read
// at the cost of other streams.
//
// With only engines without tight streams allowed, a few of these that meet a long
// prompt keep their engines out for many seconds, since they hardly move on, and long
// prompts find one engine where many could read them.
func spread(p *settings.EngineProfile, engines []Engine, usable []int, call *Call, reading time.Duration) (Plan, bool) {
	readers := readersOf(engines, usable)
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

// limitOf returns by when the first event of a long prompt has to come. A call that can't be
// in time any more may come late if engines are free: its caller has waited in vain once.
// It does not wait for them: calls that did were still waiting when their callers gave up.
func limitOf(call *Call) time.Duration {
	inTime := time.Duration(lateShare*float64(call.Objective)) - call.Waited
	if Overdue(call) {
		return time.Duration(overdueShare * float64(call.Left))
	}
	return min(call.Left, inTime)
}

// Overdue reports whether a call can't be answered in time any more: it came back late
// after a refusal, or the engine that it was sent to failed it.
func Overdue(call *Call) bool {
	return call.Age > share(overdueAge, call.Objective) || call.Waited >= share(lateShare, call.Objective)
}

// spreadNow plans a long prompt on free engines.
func spreadNow(p *settings.EngineProfile, engines []Engine, free []int, call *Call, reading time.Duration) (Plan, bool) {
	most := min(len(free), mostHelpers+1, max(1, call.Prompt/leastPart(p)))
	var best option
	for k := 1; k <= most; k++ {
		part := reading / time.Duration(k)
		plan, found := leadWithHelpers(p, engines, free, call, part, k)
		if !found {
			continue
		}
		if len(plan.Helpers) < k-1 {
			break
		}
		if candidate := optionOf(p, engines, plan, call); best.plan.Part == 0 || candidate.cost < best.cost {
			best = candidate
		}
	}
	if best.plan.Part == 0 {
		return Plan{}, false
	}
	plan := best.plan
	plan.FirstEvent = plan.Part + 2*passOf(p, engines[plan.Lead].Load.Streams+1)
	plan.Apart = apart(p, engines, &plan)
	return plan, best.harm <= bearable(call)
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
	// answerValue is what a token of the answer is worth in tokens of the prompt.
	answerValue = 10
)
