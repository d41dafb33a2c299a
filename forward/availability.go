package forward

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/upstream"
)

// An upstream that rejects a request may ask this instance for a rest period, and one that is
// about to leave says so in its answers. Every sender checks these statements both when it
// chooses an upstream and when it sends, because opening a connection and reserving memory takes
// time in between.

var (
	errResting = errors.New("the upstream has asked for rest")
	errLeaving = errors.New("the upstream has said that it leaves")

	errEnded = errors.New("the process of the upstream has ended")

	errEvacuated = errors.New("the availability zone of the upstream is evacuated")
)

// leavingRetention is how long the statement of an upstream that it leaves is kept after the
// upstream is no longer listed: a late announcement may list it again.
const leavingRetention = 10 * time.Minute

// unavailable returns why a node accepts no requests from this instance, or nil if it accepts
// them. The lock must be held.
func (n *node) unavailable(now time.Time) error {
	switch {
	case !n.leavingAt.IsZero():
		return errLeaving
	case n.rest.Active(now):
		return errResting
	default:
		return nil
	}
}

// blocked reports whether a node must get no further request now: it is unavailable, or a
// request in flight is already probing whether it accepts requests after its rest period. The
// lock must be held.
func (n *node) blocked(now time.Time) bool {
	return n.unavailable(now) != nil || n.rest.Untested(now) && n.probe != nil
}

// mustRetain reports whether the node's statements must be kept although it is no longer listed.
// The lock must be held.
func (n *node) mustRetain(now time.Time) bool {
	return n.rest.Active(now) || !n.leavingAt.IsZero() && now.Sub(n.leavingAt) < leavingRetention
}

// needsProbe reports whether a node has to be probed by a call that can still be sent again. The
// lock must be held.
func (n *node) needsProbe(now time.Time) bool { return n.rest.Untested(now) && !n.rest.Overdue(now) }

// beginProbe makes a send the probe for whether a node accepts requests after its rest period,
// if one is needed and none is in flight. The lock must be held.
func (n *node) beginProbe(now time.Time, w *work) {
	if n.rest.Untested(now) && n.probe == nil {
		n.probe = w
	}
}

// endProbe clears the probe when its send ends. The lock must be held.
func (n *node) endProbe(w *work) {
	if n.probe == w {
		n.probe = nil
	}
}

// hasResting reports whether any node of a service rests or has not accepted a request since its
// rest period. The lock must be held.
func (f *fleet) hasResting(now time.Time, service string) bool {
	for _, n := range f.nodes {
		if n.service == service && !n.replaced && (n.rest.Active(now) || n.rest.Untested(now)) {
			return true
		}
	}
	return false
}

// resting counts the nodes that get no requests because they asked for a rest period.
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

// isResting reports whether a node is in a rest period that it asked this instance for.
func (f *fleet) isResting(n *node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return n.rest.Active(time.Now())
}

// endedSince reports whether a node's process has ended since a time. The lock must be held.
func (n *node) endedSince(at time.Time) bool { return n.replaced || n.endedAt.After(at) }

// terminated reports whether a node's process is known to have ended and has not answered since.
// The lock must be held.
func (n *node) terminated(now time.Time) bool {
	return n.suspicion.active(now) && n.endedAt.After(later(n.answered, n.report.answeredAt))
}

// unavailableNode returns an engine of a send that has become unavailable or has ended since it
// was chosen, and why; nil if all engines still accept the send. If a helper has ended, the lead
// engine would find out only after the stall of a whole prefill.
func (f *fleet) unavailableNode(w *work) (*node, error) {
	now := time.Now()
	view := f.options.Plane.View()
	evacuated := view.Evacuated
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range append([]*node{w.lead}, w.helpers...) {
		if evacuated.Covers(n.zone) {
			return n, errEvacuated
		}
		if err := n.unavailable(now); err != nil {
			return n, err
		}
		if n.endedSince(w.begunAt) || f.superseded(n) {
			return n, errEnded
		}
		if announcedLeaving(view.Upstreams, n.incarnationID) {
			return n, errLeaving
		}
	}
	return nil, nil
}

// announcedLeaving reports whether an upstream's incarnation has announced that it is leaving.
func announcedLeaving(snapshot *upstream.Snapshot, id incarnationID) bool {
	if snapshot == nil {
		return false
	}
	at, found := slices.BinarySearchFunc(snapshot.Upstreams, id.name, func(u upstream.Upstream, name string) int {
		return cmp.Compare(u.Announcement.Name, name)
	})
	return found && incarnationOf(&snapshot.Upstreams[at].Announcement) == id && snapshot.Upstreams[at].Announcement.Leaving
}
