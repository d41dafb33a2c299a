package forward

import (
	"time"

	"celeryport/placement"
	"celeryport/verdict"
)

// noUpstream refuses a call that no upstream may get. full is how many serve it and take
// no more requests for now.
func (x *exchange) noUpstream(full int) error {
	if full > 0 {
		return verdict.Refuse(verdict.ReasonNoUpstream, fullRetry, "all upstreams of %s get as many requests as they take", x.service.Name)
	}
	return verdict.Refuse(verdict.ReasonNoUpstream, busyRetry, "no upstream serves %s", x.service.Name)
}

// fullRetry is when to come back while all upstreams get the rate that they name.
const fullRetry = time.Second

// planAlone gives a call that takes one upstream to one whose rate has room: the usual
// placement, which prefers near upstreams and gathers prompts on a few, might leave it
// without any.
func (x *exchange) planAlone(now time.Time, open *candidates) *work {
	if x.service.Engine == nil || x.call.PromptTokens == 0 {
		if at := placement.IdleService(open.engines); at >= 0 {
			x.predicted = 0
			return &work{lead: open.nodes[at]}
		}
		return nil
	}
	call := x.placementCall(now)
	for i, n := range open.nodes {
		if plan, found := placement.PromptOnEngine(x.service.Engine, &open.engines[i], call); found {
			x.predicted, x.readers, x.seen = plan.FirstEvent, 1, plan.Seen
			x.tries++
			return x.newWork(n, plan.Part)
		}
	}
	return nil
}
