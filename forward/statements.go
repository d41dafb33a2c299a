package forward

import (
	"strings"
	"time"

	"celeryport/event"
	"celeryport/throttle"
)

// unreadLogPause is the least time between two log lines on statements of one upstream that
// can't be read: each of its answers may have one.
const unreadLogPause = 10 * time.Second

// noteAnswer takes in what an answer says of its upstream beside the call.
func (f *fleet) noteAnswer(n *node, a *Answer) {
	f.noteRate(n, *a)
	if a.Elsewhere {
		return // another incarnation speaks of itself
	}
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
	n.rest.Asked(time.Now(), wanted)
	f.mu.Unlock()
	f.options.Metrics.askedForRest(n.service)
	eventRestAsked.Log(f.options.Log, event.Fields{
		"upstream": n.name, "address": n.address, "wanted_ms": wanted.Milliseconds(), "for_ms": min(wanted, throttle.MostRest).Milliseconds(),
	})
}

// noteLeaving notes that an upstream leaves.
func (f *fleet) noteLeaving(n *node) {
	f.mu.Lock()
	known := n.leaving
	n.leaving = true
	f.mu.Unlock()
	if !known {
		eventLeavingHeard.Log(f.options.Log, event.Fields{"upstream": n.name, "address": n.address})
	}
}

// unwilling reports whether an upstream has asked this instance for rest until later, and
// whether it has said that it leaves.
func (f *fleet) unwilling(n *node) (resting, leaving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return n.rest.Holds(time.Now()), n.leaving
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
