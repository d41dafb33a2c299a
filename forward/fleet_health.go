package forward

import (
	"context"
	"slices"
	"time"

	"celeryport/event"
	"celeryport/loadshare"
)

// refusedHelp notes that a node did not help with a prompt. It may be gone, or help as
// many others as it can: it gets no work until a new connection tells which. Taken for a
// failure each time, busy helpers were passed over for seconds, until too few engines were
// left to read the prompts.
func (f *fleet) refusedHelp(n *node) {
	asked := time.Now()
	f.mu.Lock()
	n.suspicion.pass(asked.Add(connectTimeout))
	f.mu.Unlock()
	go func() {
		if f.there(context.Background(), n) {
			f.mu.Lock()
			n.suspicion.pass(asked.Add(passPause))
			f.mu.Unlock()
		}
	}()
}

// refusedHelpElsewhere notes nodes that refused to help with a call of another instance.
func (f *fleet) refusedHelpElsewhere(keys []loadshare.Key) {
	f.mu.Lock()
	var found []*node
	for _, n := range f.nodes {
		if !n.replaced && slices.Contains(keys, n.key) {
			found = append(found, n)
		}
	}
	f.mu.Unlock()
	for _, n := range found {
		f.refusedHelp(n)
	}
}

// there finds out whether an upstream that sends nothing still takes
// connections. The new connection is kept for the next call.
func (f *fleet) there(ctx context.Context, n *node) bool {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := f.options.Dial(ctx, "tcp", n.address)
	if err != nil {
		f.suspect(n, err)
		return false
	}
	f.keep(n, newUpstreamConn(conn), 0)
	return true
}

// suspect keeps new work from a node for a while.
func (f *fleet) suspect(n *node, cause error) {
	now := time.Now()
	f.mu.Lock()
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

// answered notes that a node works.
func (f *fleet) answered(n *node) {
	f.mu.Lock()
	n.answered, n.failedAt = time.Now(), time.Time{}
	cleared := n.suspicion.clear()
	f.mu.Unlock()
	if cleared {
		eventCleared.Log(f.options.Log, event.Fields{"upstream": n.name, "address": n.address})
	}
}

// failing notes that a node was reached and failed a call by its own.
func (f *fleet) failing(n *node) {
	f.mu.Lock()
	n.failedAt = time.Now()
	f.mu.Unlock()
	f.changed()
}

// misdirected notes that another incarnation answers at the node's address. What is
// under way at the node has ended with it.
func (f *fleet) misdirected(n *node) {
	f.mu.Lock()
	f.retire(n)
	f.mu.Unlock()
	eventMisdirected.Log(f.options.Log, event.Fields{"upstream": n.name, "address": n.address})
}
