package forward

import (
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/loadshare"
	"celeryport/verdict"
)

// An upstream that rejects a request may ask this instance for rest, and one that leaves says so
// in its answers. Whatever sends to upstreams asks here first, when it chooses one and again when
// it sends: between the two there may be a connection to open and memory to set aside.

var (
	errResting = errors.New("the upstream has asked for rest")
	errLeaving = errors.New("the upstream has said that it leaves")
)

// leavingKept is how long it is remembered of an upstream that is not listed any more that it
// leaves: it may be listed again by a late announcement.
const leavingKept = 10 * time.Minute

// unwilling returns why a node wants no request from this instance, nil if it does. The lock must
// be held.
func (n *node) unwilling(now time.Time) error {
	switch {
	case !n.leavingAt.IsZero():
		return errLeaving
	case n.rest.Holds(now):
		return errResting
	default:
		return nil
	}
}

// closed reports whether a node gets no further request now: it wants none, or one is under way
// that finds out whether it accepts requests after its rest. The lock must be held.
func (n *node) closed(now time.Time) bool {
	return n.unwilling(now) != nil || n.rest.Unsure(now) && n.trial != nil
}

// remembered reports whether what a node has said of itself must be kept although it is not
// listed any more. The lock must be held.
func (n *node) remembered(now time.Time) bool {
	return n.rest.Holds(now) || !n.leavingAt.IsZero() && now.Sub(n.leavingAt) < leavingKept
}

// awaitsTrial reports whether a node is to be tried by a call that may be sent once more. The lock
// must be held.
func (n *node) awaitsTrial(now time.Time) bool { return n.rest.Unsure(now) && !n.rest.Overdue(now) }

// beginTrial notes that a send finds out whether a node accepts requests after its rest. The lock
// must be held.
func (n *node) beginTrial(now time.Time, w *work) {
	if n.rest.Unsure(now) && n.trial == nil {
		n.trial = w
	}
}

// endTrial notes the end of a send. The lock must be held.
func (n *node) endTrial(w *work) {
	if n.trial == w {
		n.trial = nil
	}
}

// owesRest reports whether any node of a service rests, or has accepted nothing since. The lock
// must be held.
func (f *fleet) owesRest(now time.Time, service string) bool {
	for _, n := range f.nodes {
		if n.service == service && !n.replaced && (n.rest.Holds(now) || n.rest.Unsure(now)) {
			return true
		}
	}
	return false
}

// resting counts the nodes that get no request because they asked for rest.
func (f *fleet) resting(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, n := range f.nodes {
		if !n.replaced && n.rest.Holds(now) {
			count++
		}
	}
	return count
}

// rests reports whether a node has asked this instance for rest until later.
func (f *fleet) rests(n *node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return n.rest.Holds(time.Now())
}

// withdrawn returns the engine of a send that has come to want nothing from this instance since
// it was chosen, and why; nil if all still take it.
func (f *fleet) withdrawn(w *work) (*node, error) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range append([]*node{w.lead}, w.helpers...) {
		if err := n.unwilling(now); err != nil {
			return n, err
		}
	}
	return nil, nil
}

// closedTo lists the engines of a service that must not get a call. The lock must be held.
func (f *fleet) closedTo(now time.Time, service string, x *exchange) []loadshare.Key {
	last := x.isLastSend(now)
	var keys []loadshare.Key
	for _, n := range f.nodes {
		if n.service == service && !n.replaced && len(keys) < mostClosedKeys && (n.closed(now) || last && n.awaitsTrial(now)) {
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

// leaveOut takes the nodes that get no request now out of some candidates, and those on trial if
// the call should not go there and there are others. The lock of the fleet must be held.
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
			if !n.rest.Unsure(now) && !rejects {
				rest.sure++
			}
		}
	}
	if !x.isLastSend(now) {
		return rest
	}
	left := rest.open
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
	return rest
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
