package forward

import (
	"time"

	"celeryport/placement"
	"celeryport/verdict"
)

// refuseNoUpstream refuses a call for which no upstream is available. full is the number of
// upstreams that serve it but whose named rate is used up.
func (x *exchange) refuseNoUpstream(full int) error {
	if full > 0 {
		return verdict.Refuse(verdict.ReasonNoUpstream, rateLimitedRetry, "all upstreams of %s get as many requests as they take", x.service.Name)
	}
	if evacuated := x.countEvacuated(); evacuated > 0 {
		return verdict.Refuse(verdict.ReasonNoUpstream, evacuatedRetry, "the availability zones of all %d upstreams of %s are evacuated", evacuated, x.service.Name)
	}
	return verdict.Refuse(verdict.ReasonNoUpstream, busyRetry, "no upstream serves %s", x.service.Name)
}

// countEvacuated counts the upstreams of the call's service in evacuated availability zones.
func (x *exchange) countEvacuated() int {
	upstreams, count := x.server.options.Plane.View().Upstreams, 0
	for _, at := range upstreams.Serving(x.service.Name) {
		if upstreams.Upstreams[at].Evacuated {
			count++
		}
	}
	return count
}

// rateLimitedRetry is the Retry-After while all upstreams receive the rate that they name.
const rateLimitedRetry = time.Second

// evacuatedRetry is the Retry-After while no upstream remains outside the evacuated zones. An
// evacuation lasts for minutes, so that earlier retries would only add load.
const evacuatedRetry = 2 * time.Second

// planWithinRate places a call that needs only one upstream on a rate-limited upstream whose
// rate has room. The general placement prefers near upstreams and concentrates prompts on few
// engines, so that it might never choose such an upstream.
func (x *exchange) planWithinRate(now time.Time, withRoom *candidates) *work {
	if x.service.Engine == nil || x.call.PromptTokens == 0 {
		if at := placement.IdleService(withRoom.engines); at >= 0 {
			x.predicted = 0
			return &work{lead: withRoom.nodes[at]}
		}
		return nil
	}
	call := x.placementCall(now)
	for i, n := range withRoom.nodes {
		if plan, found := placement.PromptOnEngine(x.service.Engine, &withRoom.engines[i], call); found {
			x.predicted, x.readers, x.seen = plan.FirstEvent, 1, plan.Seen
			x.plans++
			return x.newWork(n, plan.Part)
		}
	}
	return nil
}
