package placement

import (
	"time"

	"celeryport/loadshare"
	"celeryport/settings"
)

// option is one way to read a long prompt.
type option struct {
	plan Plan
	harm float64 // what it costs the streams of the engines, in tokens
	cost float64 // the harm, and that the prompt itself may be late
}

func optionOf(p *settings.EngineProfile, engines []Engine, plan Plan, call *Call) option {
	value := valueOf(call)
	harm := harmOf(p, &engines[plan.Lead].Load, plan.Part, value)
	for _, i := range plan.Helpers {
		harm += harmOf(p, &engines[i].Load, plan.Part, value)
	}
	first := float64(call.Waited+plan.Part) / float64(max(call.Objective, time.Millisecond))
	// What is planned for the end of the objective is often late: prompts of other
	// instances come between.
	risk := min(1, max(0, (first-earlyShare)/(1-earlyShare)))
	return option{plan: plan, harm: harm, cost: harm + value*(risk+hasteShare*first)}
}

// harmOf is what it costs that the streams of an engine wait for a part. Those
// that wait for more already are late anyhow. The other long streams count like the
// call itself.
func harmOf(p *settings.EngineProfile, load *loadshare.Load, part time.Duration, value float64) float64 {
	harm := 0.0
	if load.Reading <= spacedPart(p) && load.Reading+part > spacedPart(p) {
		harm += float64(load.Tight) * tightValue(p)
	}
	if load.Reading <= loosePause(p) && load.Reading+part > loosePause(p) {
		harm += float64(loose(load)) * value
	}
	return harm
}

// bearable is how much harm a prompt may do, in tokens: none when it comes, and the
// more the longer it has waited.
func bearable(call *Call) float64 {
	waited := float64(call.Waited) / (harmShare * float64(max(call.Objective, time.Millisecond)))
	return min(1, max(0, waited)) * harmWorth * valueOf(call)
}

// apart is for how long the engines of a plan count as reading after they have read
// their parts: for a pass if any of them writes tight streams, so that no two parts are
// read between two events of one of these.
func apart(p *settings.EngineProfile, engines []Engine, plan *Plan) time.Duration {
	tight := engines[plan.Lead].Load.Tight
	for _, i := range plan.Helpers {
		tight = max(tight, engines[i].Load.Tight)
	}
	if tight == 0 {
		return 0
	}
	return passOf(p, tight)
}

// valueOf is what an answer in time is worth, in tokens of the prompt.
func valueOf(call *Call) float64 { return float64(call.Prompt + answerValue*call.Answer) }

const (
	// harmWorth is the part of its own value that a prompt may cost others in the end.
	// Without a bound, prompts that come just after many short ones are read beside
	// these: passes take so long that callers give up in the middle of their streams.
	harmWorth = 1.2
	// harmShare is the part of the objective after which a prompt may do all of that
	// harm.
	harmShare = 0.5
	// hasteShare is the part of a call's value that a first event just in time costs
	// against one at once; it only decides between plans that are equal otherwise.
	hasteShare = 0.1
)
