package forward

import (
	"context"
	"slices"
	"time"

	"celeryport/clock"
	"celeryport/event"
	"celeryport/failover"
)

// endCheckPause is the time between the first broken send at a node and the check whether its
// process has ended, so that one check covers all sends that broke at the same time.
const endCheckPause = 10 * time.Millisecond

// endCheckWait bounds how long a call waits for the check before it is sent again.
const endCheckWait = 50 * time.Millisecond

// recordBroken records a broken send and starts a check whether the node's process has ended.
// The returned channel is closed when the result is known.
func (f *fleet) recordBroken(n *node, b brokenSend) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	n.broken = append(n.broken, b)
	if len(n.broken) == 1 {
		n.checked = make(chan struct{})
		go f.checkEnd(n, n.checked)
	}
	return n.checked
}

// checkEnd checks whether a node with broken sends has ended or only closed their connections.
func (f *fleet) checkEnd(n *node, done chan<- struct{}) {
	defer close(done)
	clock.Pause(context.Background(), endCheckPause)
	ended := !f.reachable(context.Background(), n)
	if !ended && f.suspectsRequests(n) {
		f.checkReplaced(n)
	}
	f.mu.Lock()
	broken := n.broken
	n.broken = nil
	f.mu.Unlock()
	if at := slices.IndexFunc(broken, func(b brokenSend) bool { return b.showsPath() }); !ended && at >= 0 {
		f.paths.Broken(n.path(), broken[at].sentAt)
	}
	if f.paths.Await(n.service) && f.paths.Severed(n.service) {
		ended = false // for all that this instance knows, the node runs and only the path to it is lost
	}
	f.mu.Lock()
	replaced := n.replaced
	ended = ended || replaced
	if ended {
		n.endedAt = time.Now()
		f.recordEnding(n.endedAt, n)
	}
	f.mu.Unlock()
	if !ended {
		f.recordIdleEnds(n, broken)
		f.recordFailures(n, failuresOf(n, broken)...)
		return
	}
	f.logEnd(n, broken)
	if announcedLeaving(f.options.Plane.View().Upstreams, n.incarnationID) {
		return // a planned end is no evidence against its requests
	}
	if !replaced && f.contactOf(time.Now(), n, time.Time{}) != failover.Ended {
		return // its machine may only be silent
	}
	for i := range broken {
		if outcome, suspected := broken[i].evidence(); suspected {
			f.suspects.recordEnd(time.Now(), n, broken[i].request, broken[i].parts, outcome)
		}
	}
}

// suspectsRequests reports whether the end of a node would be evidence against the request of one of its broken sends.
func (f *fleet) suspectsRequests(n *node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(n.broken, func(b brokenSend) bool {
		_, suspected := b.evidence()
		return suspected && !b.silent
	})
}

// checkReplaced asks a node that accepts connections which incarnation it is, and records if it was replaced: a process
// that was restarted at once accepts connections like one that has not ended.
func (f *fleet) checkReplaced(n *node) {
	tree := f.options.Plane.View().Tree
	if tree == nil || tree.Forwarding == nil {
		return
	}
	service := tree.Forwarding.Service(n.service)
	if service == nil {
		return
	}
	conn := f.takeIdle(n, reuseForCalls) // the one that was opened to check whether it accepts connections
	if conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	f.askIncarnationOn(ctx, n, service, conn)
}

// recordIdleEnds records the connections that a running upstream ended at the first message after they had been idle.
func (f *fleet) recordIdleEnds(n *node, broken []brokenSend) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range broken {
		if b := &broken[i]; !b.silent && !b.unused && b.phase == phaseUnanswered {
			n.keepAlive.Ended(b.sentAt, b.idle)
		}
	}
}

// logEnd logs the requests that an upstream had in flight when it ended. Those whose answer had
// been in progress for longer are only counted.
func (f *fleet) logEnd(n *node, broken []brokenSend) {
	var started, unanswered, parts []string
	for i := range broken {
		switch b := &broken[i]; {
		case b.phase == phaseUnanswered:
			unanswered = append(unanswered, b.request.String())
		case b.mayBeCause():
			started = append(started, b.request.String())
			parts = append(parts, formatParts(b.parts))
		}
	}
	slices.Sort(started)
	slices.Sort(unanswered)
	eventUpstreamEnded.Log(f.options.Log, event.Fields{
		"upstream": n.name, "address": n.address, "answering": len(broken) - len(started) - len(unanswered),
		"started": started, "unanswered": unanswered, "parts": parts,
	})
}
