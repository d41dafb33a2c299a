package forward

import (
	"strings"
	"time"

	"celeryport/event"
)

// unparsableLogInterval is the least time between two log lines on unparsable statements of one
// upstream, because each of its answers may have one.
const unparsableLogInterval = 10 * time.Second

// applyStatements applies what an answer states about its upstream's condition.
func (f *fleet) applyStatements(n *node, a *Answer) {
	if a.WrongIncarnation {
		return // the statements are those of another incarnation
	}
	f.recordRate(n, a)
	if a.Rest > 0 {
		f.recordRest(n, a.Rest)
	}
	if a.Cold != nil {
		f.recordCold(n, *a.Cold)
	}
	if a.Leaving {
		f.recordLeaving(n)
	}
	if len(a.Unparsable) > 0 {
		f.logUnparsable(n, a.Unparsable)
	}
}

// recordRest records that an upstream wants no requests from this instance for a time.
func (f *fleet) recordRest(n *node, wanted time.Duration) {
	f.mu.Lock()
	kept := n.rest.Start(time.Now(), wanted, f.random.Float64())
	f.mu.Unlock()
	f.notifyChanged()
	f.options.Metrics.RestAsked(n.service)
	eventRestAsked.Log(f.options.Log, event.Fields{
		"upstream": n.name, "address": n.address, "wanted_ms": wanted.Milliseconds(), "for_ms": kept.Milliseconds(),
	})
}

// recordAccepted records that an upstream accepted a call that was sent at the given time.
// Answers to polls are not recorded here: a poll takes no slot and shows nothing about calls.
func (f *fleet) recordAccepted(n *node, a *Answer, sentAt time.Time) {
	if a.WrongIncarnation || a.NotRun || a.Rest > 0 {
		return
	}
	f.mu.Lock()
	ended := n.rest.Accepted(sentAt)
	f.mu.Unlock()
	if ended {
		eventRestEnded.Log(f.options.Log, event.Fields{"upstream": n.name, "address": n.address})
	}
}

// recordLeaving records that an upstream is leaving.
func (f *fleet) recordLeaving(n *node) {
	f.mu.Lock()
	first := n.leavingAt.IsZero()
	if first {
		n.leavingAt = time.Now()
	}
	f.mu.Unlock()
	if first {
		f.notifyChanged()
		eventLeavingStated.Log(f.options.Log, event.Fields{"upstream": n.name, "address": n.address})
	}
}

// logUnparsable logs unparsable statements of an upstream.
func (f *fleet) logUnparsable(n *node, fields []string) {
	now := time.Now()
	f.mu.Lock()
	due := now.Sub(n.unparsableLoggedAt) >= unparsableLogInterval
	if due {
		n.unparsableLoggedAt = now
	}
	f.mu.Unlock()
	if due {
		eventUnparsableStatement.Log(f.options.Log, event.Fields{"upstream": n.name, "address": n.address, "fields": strings.Join(fields, "; ")})
	}
}
