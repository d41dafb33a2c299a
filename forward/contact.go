package forward

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/event"
	"celeryport/failover"
	"celeryport/loadshare"
	"celeryport/paths"
)

// checkContact opens a connection to an upstream that has sent nothing since a time, in the background.
// The returned channel is closed when the result is known. One check of an upstream runs at a time, and while
// the paths are lost they follow each other at intervals.
func (f *fleet) checkContact(n *node, since time.Time) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n.checking != nil {
		return n.checking
	}
	done, lost := make(chan struct{}), f.paths.Lost(n.service)
	if lost && time.Since(n.triedAt) < recheckInterval {
		close(done)
		return done
	}
	f.check(n, done, func() {
		if lost {
			f.tryContact(n)
		} else if !f.reachableQuiet(context.Background(), n, since) {
			f.paths.Await(n.service) // the paths may have failed instead
		}
	})
	return done
}

// retryContact opens a connection to an upstream that took none, in the background, unless that is under way or
// was just done.
func (f *fleet) retryContact(n *node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n.checking == nil && time.Since(n.triedAt) >= recheckInterval {
		f.check(n, make(chan struct{}), func() { f.tryContact(n) })
	}
}

// check runs a check of an upstream in the background, and closes a channel when it has ended. The lock must be
// held.
func (f *fleet) check(n *node, done chan struct{}, run func()) {
	n.checking, n.triedAt = done, time.Now()
	go func() {
		defer close(done)
		run()
		f.mu.Lock()
		defer f.mu.Unlock()
		n.checking = nil
		f.notifyContact()
	}()
}

// contactChange returns a channel that is closed when a check of an upstream has ended next, or one that took no
// connection is reached.
func (f *fleet) contactChange() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.contactChanged
}

// notifyContact wakes the calls that wait for a change. The lock must be held.
func (f *fleet) notifyContact() {
	close(f.contactChanged)
	f.contactChanged = make(chan struct{})
}

// tryContact opens a connection to an upstream. A failure is recorded, but keeps no work from the upstream: it
// may be due to the paths, or the upstream may be silent for a moment.
func (f *fleet) tryContact(n *node) {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	conn, err := f.paths.Open(ctx, n.path())
	switch {
	case err == nil:
		f.recordReached(n)
		f.keep(n, newUpstreamConn(conn), 0)
	case !paths.IsLocal(err):
		f.mu.Lock()
		defer f.mu.Unlock()
		n.recordUnreached(time.Now(), err)
	}
}

// contactOf returns what the attempts to connect to a node show, which sent data at dataAt.
func (f *fleet) contactOf(now time.Time, n *node, dataAt time.Time) failover.Contact {
	announced := announcedLeaving(f.options.Plane.View().Upstreams, n.incarnationID)
	f.mu.Lock()
	defer f.mu.Unlock()
	known := n.reachability.SinceData(dataAt)
	return known.Contact(now, announced || !n.leavingAt.IsZero())
}

// recentlyEnded reports whether a node has ended, as recent attempts to connect to it show.
func (f *fleet) recentlyEnded(now time.Time, n *node) bool {
	f.mu.Lock()
	recent := n.reachability.Recent(now)
	f.mu.Unlock()
	return recent && f.contactOf(now, n, time.Time{}) == failover.Ended
}

// nodeWith returns the node with a key, nil if there is none.
func (f *fleet) nodeWith(key loadshare.Key) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if n.key == key {
			return n
		}
	}
	return nil
}

// recordReached records a sign of life of a node.
func (f *fleet) recordReached(n *node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n.reachability.Reached() {
		f.notifyContact()
	}
}

// recordUnreached records a failed attempt to connect to a node. The lock must be held.
func (n *node) recordUnreached(now time.Time, cause error) {
	if !errors.Is(cause, paths.ErrLost) {
		n.reachability.Failed(now, errors.Is(cause, syscall.ECONNREFUSED))
	}
}

// logEnd logs that the send ends because its upstream is silent.
func (w *silenceWatch) logEnd(c failover.Contact) {
	s, x := w.s, w.s.x
	x.server.options.Metrics.Silent(x.service.Name, c)
	eventSilent.Log(x.server.options.Log, event.Fields{
		"call": x.call.ID, "route": x.route.Name, "upstream": s.node.name, "address": s.node.address, "observed": c.String(),
		"silent_ms": time.Since(w.state.QuietSince()).Milliseconds(), "events": x.events, "sends_left": max(0, x.maxSends()-x.failed.Counted()-1),
		"repeatable": x.mayMove(), "after_ms": time.Since(x.began).Milliseconds(),
	})
}
