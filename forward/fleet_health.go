package forward

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/arbiter"
	"celeryport/event"
	"celeryport/helping"
	"celeryport/paths"
)

// recordHelpRefusal records that a node did not help with a prompt. The node may be gone, or
// already help as many other engines as it can: it gets no work until a new connection shows
// which. If each refusal counted as a failure, busy helpers would be avoided for seconds, until
// too few engines were left to read the prompts.
func (f *fleet) recordHelpRefusal(n *node) {
	refusedAt := time.Now()
	f.mu.Lock()
	n.suspicion.pauseUntil(refusedAt.Add(connectTimeout))
	f.mu.Unlock()
	go func() {
		if f.reachable(context.Background(), n) {
			f.mu.Lock()
			n.suspicion.pauseUntil(refusedAt.Add(helpRefusalPause))
			f.mu.Unlock()
		}
	}()
}

// applyHelpRefusals records nodes that refused to help with a call of another instance.
func (f *fleet) applyHelpRefusals(ask *arbiter.Request) {
	f.mu.Lock()
	var found []*node
	for _, n := range f.nodes {
		if !n.replaced && slices.Contains(ask.Refused, n.key) {
			found = append(found, n)
		}
	}
	f.mu.Unlock()
	for _, n := range found {
		f.recordHelpRefusal(n)
		f.recordHelperFailure(n, helping.Prompt{Request: ask.Call(), SentAt: time.Now()}, true)
	}
}

// reachable reports whether an upstream that sends no data still accepts connections. The new
// connection is kept for the next call.
func (f *fleet) reachable(ctx context.Context, n *node) bool {
	return f.reachableQuiet(ctx, n, time.Time{})
}

// reachableQuiet does the same for an upstream that has sent nothing since a time. If no other has
// either, the path is verified.
func (f *fleet) reachableQuiet(ctx context.Context, n *node, since time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := f.paths.Open(ctx, n.path())
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) { // the caller left, which shows nothing about the upstream
			f.suspect(n, err)
		}
		return paths.IsLocal(err) // it is not known, so a call there goes on
	}
	f.recordReached(n)
	f.paths.Verify(n.path(), conn, since)
	return true
}

// suspect records a failure to reach a node, which keeps new work from it for a while. A shortage of this process and
// paths that are known to be lost show nothing about the node.
func (f *fleet) suspect(n *node, cause error) {
	if paths.IsLocal(cause) || errors.Is(cause, paths.ErrLost) {
		return
	}
	now := time.Now()
	f.mu.Lock()
	n.recordUnreached(now, cause)
	wait := n.suspicion.raise(now)
	for _, c := range n.idle {
		c.close()
	}
	n.idle = nil
	f.mu.Unlock()
	eventSuspected.Log(f.options.Log, event.Fields{
		"upstream": n.name, "address": n.address, "error": cause.Error(), "for_ms": wait.Milliseconds(),
	})
}

// recordAnswer records that a node answered a call successfully.
func (f *fleet) recordAnswer(n *node) {
	f.mu.Lock()
	n.answered, n.failedAt = time.Now(), time.Time{}
	n.reachability.Reached()
	cleared := n.suspicion.clear()
	f.mu.Unlock()
	if cleared {
		eventCleared.Log(f.options.Log, event.Fields{"upstream": n.name, "address": n.address})
	}
}

// recordFailure records that a node was reached and failed a call itself.
func (f *fleet) recordFailure(n *node) {
	f.mu.Lock()
	n.failedAt = time.Now()
	f.mu.Unlock()
	f.notifyChanged()
}

// recordReplaced records that another incarnation answers at the node's address, and closes the
// connections of the calls in flight at the node, which ended with it.
func (f *fleet) recordReplaced(n *node) {
	f.mu.Lock()
	f.retire(n)
	f.mu.Unlock()
	eventReplaced.Log(f.options.Log, event.Fields{"upstream": n.name, "address": n.address})
}
