package placement

import (
	"slices"
	"time"

	"celeryport/endings"
	"celeryport/settings"
)

// minSteadyFraction is the minimum fraction of the usable engines that must not be frail for the
// frail ones to be left out as helpers. After a restart of most engines the others alone would take
// several times as long to prefill a prompt.
const minSteadyFraction = 0.5

// planAvoidingFrail plans a call without frail helpers. Frail engines may help if they are the
// majority or if too few others are free for a plan.
func planAvoidingFrail(p *settings.EngineProfile, engines []Engine, usable []int, call *Call) (Plan, bool) {
	frail := 0
	for _, i := range usable {
		if engines[i].Frail {
			frail++
		}
	}
	if frail == 0 {
		return planPrompt(p, engines, usable, call)
	}
	if float64(len(usable)-frail) < minSteadyFraction*float64(len(usable)) {
		return planPrompt(p, withoutFrailty(engines), usable, call)
	}
	steady, found := planPrompt(p, engines, usable, call)
	if found {
		return steady, true
	}
	plan, found := planPrompt(p, withoutFrailty(engines), usable, call)
	if found && shouldAwaitSteady(&steady, &plan, call) {
		return steady, false
	}
	return plan, found
}

// shouldAwaitSteady reports whether a call should wait for engines that are not frail: they are
// known to become free so soon that a plan with frail ones would be early even after the wait. If
// a call waited for longer, for example for memory that only a frail engine has, it would be late
// or rejected.
func shouldAwaitSteady(steady, plan *Plan, call *Call) bool {
	return steady.Wait > minWait && call.Waited+steady.Wait+plan.FirstEvent <= fraction(earlyFraction, call.Objective)
}

// steadyEngines returns the candidates that are not frail, or all if there are none.
func steadyEngines(engines []Engine, candidates []int) []int {
	steady := slices.DeleteFunc(slices.Clone(candidates), func(i int) bool { return engines[i].Frail })
	if len(steady) == 0 {
		return candidates
	}
	return steady
}

// withoutFrailty returns a copy of the engines in which none is frail.
func withoutFrailty(engines []Engine) []Engine {
	plain := make([]Engine, len(engines))
	copy(plain, engines)
	for i := range plain {
		plain[i].Frail = false
	}
	return plain
}

// endLoss returns the expected loss of a plan because one of its engines terminates: the prompt
// then fails, and the streams that its prefill delayed were delayed for nothing. stake is the value
// of both.
func endLoss(p *settings.EngineProfile, engines []Engine, plan *Plan, call *Call, stake float64) float64 {
	if call.EndRate <= 0 {
		return 0
	}
	return endings.Probability(call.EndRate, endExposure(p, engines, plan, call)) * stake
}

// endExposure returns the engine-time during which a termination would fail a plan: on each of its
// engines the prefill queued there, its part and the passes until the first event, and on helpers
// that keep memory of the prompt also the answer.
func endExposure(p *settings.EngineProfile, engines []Engine, plan *Plan, call *Call) time.Duration {
	own := plan.Part + 2*passTime(p, engines[plan.Lead].Load.Streams+1)
	exposure := engines[plan.Lead].Load.PrefillTime + own
	for _, i := range plan.Helpers {
		exposure += engines[i].Load.PrefillTime + own
	}
	return exposure + time.Duration(len(plan.Reserved)*call.Answer)*p.Step
}
