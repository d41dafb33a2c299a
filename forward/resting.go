package forward

import (
	"time"

	"celeryport/loadshare"
	"celeryport/verdict"
)

// closedEngines lists the engines that must not get the call.
func (x *exchange) closedEngines(now time.Time) []loadshare.Key {
	f, last := x.server.fleet, x.isLastSend(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	var keys []loadshare.Key
	for _, n := range f.nodes {
		if n.service != x.service.Name || n.replaced || len(keys) == mostClosedKeys {
			continue
		}
		if n.closed(now) || last && n.awaitsTrial(now) {
			keys = append(keys, n.key)
		}
	}
	return keys
}

// mostClosedKeys keeps an ask small enough for one packet. Engines beyond it are refused when the
// answer names them.
const mostClosedKeys = 40

// isLastSend reports whether the call will not be sent again if its next send is rejected. Such a
// call must not be the one that finds out whether an upstream accepts requests again.
func (x *exchange) isLastSend(now time.Time) bool {
	return x.sends-x.ended-x.rejections+1 >= x.route.MaxSends || !x.server.budgets.open(now, x.service.Name)
}

// restOf sums up the nodes of a service of which some rest.
type restOf struct {
	resting int       // nodes that get no request now
	soonest time.Time // when the first of them may
	open    int       // nodes that may get the call
	sure    int       // of these, nodes of which nothing says that they would reject it
}

// inVain reports whether a call that waits for a node would probably be rejected by it.
func (r *restOf) inVain() bool { return r.resting > 0 && r.sure == 0 }

// leaveOut takes the nodes that get no request now out of some candidates, and sums up what is
// left. The lock of the fleet must be held.
func (x *exchange) leaveOut(now time.Time, lists ...*candidates) restOf {
	var rest restOf
	for _, c := range lists {
		c.remove(func(n *node) bool {
			if !n.closed(now) {
				return false
			}
			rest.add(n.rest.Until())
			return true
		})
		rest.open += len(c.nodes)
		for i, n := range c.nodes {
			rejects := c.engines[i].Avoid && c.engines[i].Load.Failing >= suspicionsEnough
			if !n.rest.Untested(now) && !rejects {
				rest.sure++
			}
		}
	}
	if x.isLastSend(now) {
		spareLastSend(now, rest.open, lists)
	}
	return rest
}

// spareLastSend takes nodes that are to be tried out of some candidates as long as there are
// others, and has nodes avoided that failed a call of any instance of late. The lock of the fleet
// must be held.
func spareLastSend(now time.Time, left int, lists []*candidates) {
	for _, c := range lists {
		c.remove(func(n *node) bool {
			if left == 1 || !n.awaitsTrial(now) {
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

func (r *restOf) add(until time.Time) {
	if r.resting == 0 || until.Before(r.soonest) {
		r.soonest = until
	}
	r.resting++
}

// restOfAll sums up the upstreams of the call's service.
func (x *exchange) restOfAll(now time.Time) restOf {
	f := x.server.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.owesRest(now, x.service.Name) {
		return restOf{}
	}
	free, open, _ := f.candidates(now, x.server.options.Plane.View().Upstreams, x.service.Name)
	return x.leaveOut(now, free, open)
}

// refuseResting is the refusal of a call while all upstreams rest. Its caller comes back when the
// first of them takes requests again.
func (x *exchange) refuseResting(now time.Time, rest restOf) error {
	wait := max(0, rest.soonest.Sub(now))
	return verdict.Refuse(verdict.ReasonNoUpstream, x.comeBack(x.deadline.Sub(now), wait),
		"all %d upstreams of %s that could take the call have asked for rest, the first for %s more", rest.resting, x.service.Name, wait.Round(time.Millisecond))
}
