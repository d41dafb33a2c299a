package forward

import (
	"time"

	"github.com/cockroachdb/errors"
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
	case n.rest.Active(now):
		return errResting
	default:
		return nil
	}
}

// closed reports whether a node gets no further request now: it wants none, or one is under way
// that finds out whether it accepts requests after its rest. The lock must be held.
func (n *node) closed(now time.Time) bool {
	return n.unwilling(now) != nil || n.rest.Untested(now) && n.trial != nil
}

// remembered reports whether what a node has said of itself must be kept although it is not
// listed any more. The lock must be held.
func (n *node) remembered(now time.Time) bool {
	return n.rest.Active(now) || !n.leavingAt.IsZero() && now.Sub(n.leavingAt) < leavingKept
}

// awaitsTrial reports whether a node is to be tried by a call that may be sent once more. The lock
// must be held.
func (n *node) awaitsTrial(now time.Time) bool { return n.rest.Untested(now) && !n.rest.Overdue(now) }

// beginTrial notes that a send finds out whether a node accepts requests after its rest. The lock
// must be held.
func (n *node) beginTrial(now time.Time, w *work) {
	if n.rest.Untested(now) && n.trial == nil {
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
		if n.service == service && !n.replaced && (n.rest.Active(now) || n.rest.Untested(now)) {
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
		if !n.replaced && n.rest.Active(now) {
			count++
		}
	}
	return count
}

// rests reports whether a node has asked this instance for rest until later.
func (f *fleet) rests(n *node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return n.rest.Active(time.Now())
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
