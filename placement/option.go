package placement

import (
	"time"

	"celeryport/loadshare"
	"celeryport/settings"
)

// option is one possible placement of a long prompt.
type option struct {
	plan Plan
	harm float64 // cost to the streams on the engines, in prompt tokens
	cost float64 // harm plus the cost of the prompt itself being late or failing
}

func newOption(p *settings.EngineProfile, engines []Engine, plan Plan, call *Call) option {
	value := callValue(call)
	harm := streamHarm(p, &engines[plan.Lead].Load, plan.Part, value)
	for _, i := range plan.Helpers {
		harm += streamHarm(p, &engines[i].Load, plan.Part, value)
	}
	first := float64(call.Waited+plan.Part) / float64(max(call.Objective, time.Millisecond))
	// A first event planned for the end of the objective is often late, because prompts placed
	// by other instances come in between.
	risk := min(1, max(0, (first-earlyFraction)/(1-earlyFraction)))
	loss := endLoss(p, engines, &plan, call, value+harm)
	return option{plan: plan, harm: harm, cost: harm + value*(risk+latenessWeight*first) + loss}
}

// streamHarm returns the cost of delaying the streams of an engine by a part. Streams that the
// queued prefill already delays too much are late anyway and do not count. Each other stream that
// tolerates long pauses counts as much as the call itself.
func streamHarm(p *settings.EngineProfile, load *loadshare.Load, part time.Duration, value float64) float64 {
	harm := 0.0
	if load.PrefillTime <= maxSpacedPart(p) && load.PrefillTime+part > maxSpacedPart(p) {
		harm += float64(load.Tight) * tightStreamValue(p)
	}
	if load.PrefillTime <= minLoosePause(p) && load.PrefillTime+part > minLoosePause(p) {
		harm += float64(tolerantStreams(load)) * value
	}
	return harm
}

// tolerableHarm returns how much harm a prompt may do, in prompt tokens: none on arrival, and
// more the longer it has waited.
func tolerableHarm(call *Call) float64 {
	waited := float64(call.Waited) / (fullHarmFraction * float64(max(call.Objective, time.Millisecond)))
	return min(1, max(0, waited)) * maxHarmFraction * callValue(call)
}

// partSpacing returns how long the engines of a plan count as busy after they have prefilled
// their parts: for a pass if any of them runs tight streams, so that no two parts are prefilled
// between two events of such a stream.
func partSpacing(p *settings.EngineProfile, engines []Engine, plan *Plan) time.Duration {
	tight := engines[plan.Lead].Load.Tight
	for _, i := range plan.Helpers {
		tight = max(tight, engines[i].Load.Tight)
	}
	if tight == 0 {
		return 0
	}
	return passTime(p, tight)
}

// callValue returns the value of an answer in time, in prompt tokens.
func callValue(call *Call) float64 { return float64(call.Prompt + answerTokenValue*call.Answer) }

const (
	// maxHarmFraction is the fraction of its own value that a prompt may finally cost others.
	// Without a bound, prompts that come just after many short ones are prefilled beside these:
	// passes take so long that callers give up in the middle of their streams.
	maxHarmFraction = 1.2
	// fullHarmFraction is the fraction of the objective after which a prompt may do all of that
	// harm.
	fullHarmFraction = 0.5
	// latenessWeight is the fraction of a call's value lost if its first event comes just in
	// time instead of at once; it only decides between plans that are equal otherwise.
	latenessWeight = 0.1
)
