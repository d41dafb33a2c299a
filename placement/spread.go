package placement

import (
	"slices"
	"time"

	"celeryport/settings"
)

// spread splits a long prompt into equal parts that are prefilled by engines with nothing else
// to prefill. With more engines the first event comes earlier and the total work stays the same,
// but each tight stream beside a part that is not short becomes late. So it uses the number of
// engines with the least cost.
//
// An engine prefills its most recent part first. A second part on an engine therefore delays the
// first one, and with it a prompt whose other parts are prefilled elsewhere: under load, prompts then
// take many times as long as predicted, the oldest ones longest. So a prompt waits here until
// enough engines are free to prefill parts short enough not to delay any stream.
//
// In a burst of long prompts after one of short prompts, every engine has some tight streams;
// all engines together can prefill a typical long prompt between two events of each stream. If
// harm were allowed from the start, many such prompts would be prefilled by one engine alone,
// whose streams would stall meanwhile. So a prompt is prefilled at the cost of other streams
// only when its time runs short.
//
// Engines with tight streams are not excluded altogether. A tight stream beside a long prompt
// hardly progresses, so a few such streams would exclude their engines for many seconds, and long
// prompts would find one engine where many could prefill them.
func spread(p *settings.EngineProfile, engines []Engine, usable []int, call *Call, prefill time.Duration) (Plan, bool) {
	candidates := prefillOrder(engines, startOrder(usable, call))
	limit := firstEventLimit(call)
	plan, found := spreadNow(p, engines, freeEngines(p, engines, candidates), call, prefill)
	if found && plan.FirstEvent <= limit {
		return plan, true
	}
	if Overdue(call) {
		return Plan{FirstEvent: prefill, Excess: call.Remaining}, false // waiting would put it behind all calls that can still be in time
	}
	return planRetry(p, engines, steadyEngines(engines, candidates), call, prefill, limit)
}

// firstEventLimit returns the latest acceptable time to the first event of a long prompt. An
// overdue call may be late if engines are free, because its caller has waited once already without
// an answer. It does not wait for engines to become free: calls that did were still waiting when
// their callers gave up.
func firstEventLimit(call *Call) time.Duration {
	inTime := time.Duration(latestFraction*float64(call.Objective)) - call.Waited
	if Overdue(call) {
		return time.Duration(overdueLimitFraction * float64(call.Remaining))
	}
	return min(call.Remaining, inTime)
}

// Overdue reports whether a call can no longer be answered in time, because it was retried late
// after a rejection or the engine that it was sent to failed.
func Overdue(call *Call) bool {
	return call.Age > fraction(overdueAgeFraction, call.Objective) || call.Waited >= fraction(latestFraction, call.Objective)
}

// spreadNow plans a long prompt on free engines.
func spreadNow(p *settings.EngineProfile, engines []Engine, free []int, call *Call, prefill time.Duration) (Plan, bool) {
	most := min(len(free), maxReaders(p, call.Prompt))
	var best option
	for k := 1; k <= most; k++ {
		part := prefill / time.Duration(k)
		candidates := free
		if losesStreams(p, call.Prompt, part, k) {
			candidates = withoutImpatientStreams(engines, free)
		}
		plan, found := leadWithHelpers(p, engines, candidates, call, part, k)
		if !found {
			continue
		}
		if len(plan.Helpers) < k-1 {
			if len(candidates) < len(free) {
				continue // with more engines the parts may be short enough for all of them
			}
			break
		}
		if candidate := newOption(p, engines, plan, call); best.plan.Part == 0 || candidate.cost < best.cost {
			best = candidate
		}
	}
	if best.plan.Part == 0 {
		return Plan{}, false
	}
	plan := best.plan
	plan.FirstEvent = plan.Part + 2*passTime(p, engines[plan.Lead].Load.Streams+1)
	plan.Spacing = partSpacing(p, engines, &plan)
	return plan, best.harm <= tolerableHarm(call)
}

// planRetry computes when enough engines will have finished their queued prefill for the prompt
// to be prefilled within the limit. If there is no such time, the call is infeasible.
func planRetry(p *settings.EngineProfile, engines []Engine, candidates []int, call *Call, prefill, limit time.Duration) (Plan, bool) {
	ends := make([]time.Duration, 0, len(candidates))
	for _, i := range candidates {
		ends = append(ends, engines[i].Load.PrefillTime+call.Ahead)
	}
	slices.Sort(ends)
	plan := Plan{Part: prefill, FirstEvent: earliestEnd(ends) + prefill}
	for at, end := range ends {
		candidates := min(at+1, maxHelpers+1)
		first := end + prefill/time.Duration(candidates) + 2*passTime(p, 1)
		if first < plan.FirstEvent {
			plan.Part, plan.FirstEvent = prefill/time.Duration(candidates), first
		}
		if first <= limit {
			plan.Wait = max(minWait, end)
			return plan, false
		}
	}
	plan.Excess = max(0, plan.FirstEvent-limit)
	return plan, false
}

func earliestEnd(ends []time.Duration) time.Duration {
	if len(ends) == 0 {
		return 0
	}
	return ends[0]
}

const (
	// overdueAgeFraction is the fraction of the objective after which a retried call is overdue:
	// the remaining time is rarely enough for the queue and the prefill.
	overdueAgeFraction = 0.6
	// overdueLimitFraction is the fraction of its remaining time within which the first event of
	// an overdue call has to be planned; the rest is for its stream.
	overdueLimitFraction = 0.5
	// minWait is the minimum time before a waiting prompt is planned again, about as long as it
	// takes until the other instances learn of a change.
	minWait = 10 * time.Millisecond
	// answerTokenValue is the value of an answer token in prompt tokens.
	answerTokenValue = 10
)
