package forward

import (
	"context"
	"slices"
	"time"

	"celeryport/clock"
	"celeryport/event"
)

// endCheckPause passes between the first broken send at a node and the check whether its
// process has ended, so that one check covers all sends that broke with it.
const endCheckPause = 10 * time.Millisecond

// endCheckWait bounds how long a call waits for the check before it is sent again.
const endCheckWait = 50 * time.Millisecond

// brokeOff notes a send that broke off and has it checked whether the node's process has
// ended. The channel is closed when that is known.
func (f *fleet) brokeOff(n *node, b brokenSend) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	n.broken = append(n.broken, b)
	if len(n.broken) == 1 {
		n.checked = make(chan struct{})
		go f.checkEnd(n, n.checked)
	}
	return n.checked
}

// checkEnd finds out whether a node at which sends broke off has ended, or only closed
// their connections.
func (f *fleet) checkEnd(n *node, done chan<- struct{}) {
	defer close(done)
	clock.Pause(context.Background(), endCheckPause)
	ended := !f.there(context.Background(), n)
	f.mu.Lock()
	ended = ended || n.replaced
	broken := n.broken
	n.broken = nil
	f.mu.Unlock()
	if !ended {
		return
	}
	f.logEnd(n, broken)
	if f.leaves(n) {
		return // it ended as it said it would
	}
	for _, b := range broken {
		if b.phase != phaseAnswering {
			f.suspects.ended(time.Now(), n, b)
		}
	}
}

// leaves reports whether a node announced that it leaves.
func (f *fleet) leaves(n *node) bool {
	for _, u := range f.options.Plane.View().Upstreams.Upstreams {
		if startOf(&u.Announcement) == n.start {
			return u.Announcement.Leaving
		}
	}
	return false
}

// logEnd logs which requests an upstream had when it ended. Those whose answer was under
// way are only counted.
func (f *fleet) logEnd(n *node, broken []brokenSend) {
	requests := map[phase][]string{}
	for _, b := range broken {
		requests[b.phase] = append(requests[b.phase], b.request.String())
	}
	for _, list := range requests {
		slices.Sort(list)
	}
	eventUpstreamEnded.Log(f.options.Log, event.Fields{
		"upstream": n.name, "address": n.address, "answering": len(requests[phaseAnswering]),
		"started": requests[phaseStarted], "unanswered": requests[phaseUnanswered],
	})
}
