package forward

import (
	"strings"
	"time"

	"celeryport/event"
)

// unreadLogPause is the least time between two log lines on statements of one upstream that
// can't be read: each of its answers may have one.
const unreadLogPause = 10 * time.Second

// noteAnswer takes in what an answer says of its upstream beside the call.
func (f *fleet) noteAnswer(n *node, a *Answer) {
	if a.Elsewhere {
		return // another incarnation speaks of itself
	}
	f.noteRate(n, a)
	if a.Rest > 0 {
		f.noteRest(n, a.Rest)
	}
	if a.Leaving {
		f.noteLeaving(n)
	}
	if len(a.Unread) > 0 {
		f.noteUnread(n, a.Unread)
	}
}

// noteRest notes that an upstream wants nothing from this instance for a time.
func (f *fleet) noteRest(n *node, wanted time.Duration) {
	f.mu.Lock()
	kept := n.rest.Start(time.Now(), wanted, f.random.Float64())
	f.mu.Unlock()
	f.changed()
	f.options.Metrics.askedForRest(n.service)
	eventRestAsked.Log(f.options.Log, event.Fields{
		"upstream": n.name, "address": n.address, "wanted_ms": wanted.Milliseconds(), "for_ms": kept.Milliseconds(),
	})
}

// noteAccepted notes that an upstream accepted a call that was sent at a time. An answer to a poll
// would say nothing of that: it takes no slot.
func (f *fleet) noteAccepted(n *node, a *Answer, sentAt time.Time) {
	if a.Elsewhere || a.NotRun || a.Rest > 0 {
		return
	}
	f.mu.Lock()
	ended := n.rest.Accepted(sentAt)
	f.mu.Unlock()
	if ended {
		eventRestEnded.Log(f.options.Log, event.Fields{"upstream": n.name, "address": n.address})
	}
}

// noteLeaving notes that an upstream leaves.
func (f *fleet) noteLeaving(n *node) {
	f.mu.Lock()
	first := n.leavingAt.IsZero()
	if first {
		n.leavingAt = time.Now()
	}
	f.mu.Unlock()
	if first {
		f.changed()
		eventLeavingHeard.Log(f.options.Log, event.Fields{"upstream": n.name, "address": n.address})
	}
}

// noteUnread logs statements of an upstream that can't be read.
func (f *fleet) noteUnread(n *node, fields []string) {
	now := time.Now()
	f.mu.Lock()
	due := now.Sub(n.unreadAt) >= unreadLogPause
	if due {
		n.unreadAt = now
	}
	f.mu.Unlock()
	if due {
		eventUnreadStatement.Log(f.options.Log, event.Fields{"upstream": n.name, "address": n.address, "fields": strings.Join(fields, "; ")})
	}
}
