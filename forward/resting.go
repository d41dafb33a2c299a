package forward

import (
	"time"

	"celeryport/loadshare"
	"celeryport/verdict"
)

// excludedEngines lists the engines that must not get the call.
func (x *exchange) excludedEngines(now time.Time) []loadshare.Key {
	f, last := x.server.fleet, x.isLastSend(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	var keys []loadshare.Key
	for _, n := range f.nodes {
		if n.service != x.service.Name || n.replaced || len(keys) == maxExcludedKeys {
			continue
		}
		if n.blocked(now) || last && n.needsProbe(now) {
			keys = append(keys, n.key)
		}
	}
	return keys
}

// maxExcludedKeys keeps an ask small enough for one datagram. Engines beyond the limit are
// rejected when the arbiter's answer names them.
const maxExcludedKeys = 40

// isLastSend reports whether the call will not be sent again if its next send is rejected. Such
// a call must not be used to probe whether an upstream accepts requests again.
func (x *exchange) isLastSend(now time.Time) bool {
	return x.failed.Counted()+1 >= x.route.MaxSends || !x.server.budgets.AllowsRepeat(now, x.service.Name)
}

// restSummary describes the nodes of a service while some of them rest.
type restSummary struct {
	resting   int       // nodes that must get no request now
	soonest   time.Time // when the first of these accepts requests again
	available int       // nodes that may get the call
	likely    int       // of these, nodes that are not expected to reject it
}

// allLikelyReject reports whether some nodes rest and every other one is likely to reject the
// call, so that waiting for a node is useless.
func (r *restSummary) allLikelyReject() bool { return r.resting > 0 && r.likely == 0 }

// excludeBlocked removes the nodes that must get no request now from the candidates and
// summarises the rest periods. The lock of the fleet must be held.
func (x *exchange) excludeBlocked(now time.Time, lists ...*candidates) restSummary {
	var rest restSummary
	for _, c := range lists {
		c.remove(func(n *node) bool {
			if !n.blocked(now) {
				return false
			}
			rest.add(n.rest.Until())
			return true
		})
		rest.available += len(c.nodes)
		for i, n := range c.nodes {
			rejects := c.engines[i].Avoid && c.engines[i].Load.Failing >= suspicionQuorum
			if !n.rest.Untested(now) && !rejects {
				rest.likely++
			}
		}
	}
	if x.isLastSend(now) {
		protectLastSend(now, rest.available, lists)
	}
	return rest
}

// protectLastSend removes nodes that still need a probe as long as other nodes are left, and
// marks nodes that recently failed a call of any instance as to be avoided. The lock of the
// fleet must be held.
func protectLastSend(now time.Time, left int, lists []*candidates) {
	for _, c := range lists {
		c.remove(func(n *node) bool {
			if left == 1 || !n.needsProbe(now) {
				return false
			}
			left--
			return true
		})
		for i := range c.engines {
			c.engines[i].Avoid = c.engines[i].Avoid || c.engines[i].Load.Failing > 0
		}
	}
}

func (r *restSummary) add(until time.Time) {
	if r.resting == 0 || until.Before(r.soonest) {
		r.soonest = until
	}
	r.resting++
}

// summariseRest summarises the rest periods of the upstreams of the call's service.
func (x *exchange) summariseRest(now time.Time) restSummary {
	f := x.server.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.hasResting(now, x.service.Name) {
		return restSummary{}
	}
	unlimited, withRoom, _ := f.candidates(now, x.server.options.Plane.View().Upstreams, x.service.Name)
	return x.excludeBlocked(now, unlimited, withRoom)
}

// refuseResting refuses a call while all upstreams rest. Its Retry-After is the time until the
// first of them accepts requests again.
func (x *exchange) refuseResting(now time.Time, rest restSummary) error {
	wait := max(0, rest.soonest.Sub(now))
	return verdict.Refuse(verdict.ReasonNoUpstream, x.retryAfter(x.deadline.Sub(now), wait),
		"all %d upstreams of %s that could take the call have asked for rest, the first for %s more", rest.resting, x.service.Name, wait.Round(time.Millisecond))
}
