package order

import (
	"fmt"
	"sort"
	"time"

	"celeryport/settings"
	"celeryport/upstream"
	"celeryport/upstream/wire"
)

// Reconciler decides which engines to read and what to order. It is pure and not
// safe for concurrent use.
//
// Invariants: an engine is ordered only after its state was read under the
// present issuer; an engine that ignores fencing is left alone, reads included,
// until every former issuer has stopped; at most one call to an engine is under
// way; after a lost answer the engine is read before anything else.
type Reconciler struct {
	timing  Timing
	issuer  Issuer
	engines map[string]*engine
	issued  uint64
	log     []Record
}

// Record describes one order for operators.
type Record struct {
	At     time.Time  `json:"at"`
	Engine string     `json:"engine"`
	Order  wire.Order `json:"order"`
	Result string     `json:"result"` // sent, accepted, refused, lost, found (read back after a lost answer) or missing
	Reason string     `json:"reason,omitempty"`
}

// maxRecords bounds the log of orders.
const maxRecords = 200

// NewReconciler returns a reconciler that knows no engine.
func NewReconciler(timing Timing) *Reconciler {
	return &Reconciler{timing: timing, engines: map[string]*engine{}}
}

// Step takes in the present wishes and engines and returns the calls to make.
func (r *Reconciler) Step(now time.Time, issuer Issuer, tree *settings.Tree, s *upstream.Snapshot) []Action {
	r.become(issuer)
	if !issuer.Valid(now) || tree == nil || s == nil || !wishes(tree) {
		return nil
	}
	r.follow(now, s)
	actions := r.reads(now)
	for _, o := range r.wanted(now, tree) {
		actions = append(actions, r.issue(now, o))
	}
	return actions
}

// become forgets what was read under another issuer's number: that issuer may
// have changed the engines since.
func (r *Reconciler) become(issuer Issuer) {
	if issuer.Fence != r.issuer.Fence {
		for _, e := range r.engines {
			e.state = nil
			e.pending = nil
		}
		r.issued = 0
	}
	r.issuer = issuer
}

// follow adds and removes engines with the snapshot.
func (r *Reconciler) follow(now time.Time, s *upstream.Snapshot) {
	seen := map[string]bool{}
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		if u.Announcement.Kind != upstream.Engine {
			continue
		}
		name := u.Announcement.Name
		seen[name] = true
		if r.engines[name] == nil {
			r.engines[name] = &engine{name: name, incarnation: u.Announcement.Incarnation}
		}
		r.engines[name].follow(u, now)
	}
	for name, e := range r.engines {
		if !seen[name] && !e.calling {
			delete(r.engines, name)
		}
	}
}

// mayTouch reports whether the engine can be read and ordered by this issuer.
func (r *Reconciler) mayTouch(now time.Time, e *engine) bool {
	return e.fencing == upstream.FencingChecked || r.issuer.Waited(now, r.timing.Wait)
}

// reads returns a read for each engine whose state is not known.
func (r *Reconciler) reads(now time.Time) []Action {
	var actions []Action
	for _, e := range r.sorted() {
		if !e.free(now) || !r.mayTouch(now, e) || e.known(now, r.timing.Reread) {
			continue
		}
		e.calling = true
		actions = append(actions, Action{Engine: e.name, Address: e.address, Incarnation: e.incarnation})
	}
	return actions
}

// issue numbers an order and marks its engine as being called.
func (r *Reconciler) issue(now time.Time, w want) Action {
	r.issued++
	o := &wire.Order{
		ID:    fmt.Sprintf("%d-%d-%d", r.issuer.Fence.Term, r.issuer.Fence.Index, r.issued),
		Term:  r.issuer.Fence.Term,
		Index: r.issuer.Fence.Index,
		Kind:  w.kind,
		Value: w.value,
	}
	w.engine.calling = true
	w.engine.pending = o
	r.record(now, w.engine.name, o, "sent", "")
	return Action{Engine: w.engine.name, Address: w.engine.address, Incarnation: w.engine.incarnation, Order: o}
}

// Done takes in what came of an action.
func (r *Reconciler) Done(now time.Time, result Result) {
	e := r.engines[result.Engine]
	if e == nil || e.incarnation != result.Incarnation {
		return
	}
	e.calling = false
	if result.State == nil {
		r.lost(now, e, result)
		return
	}
	e.state = result.State
	e.readAt = now
	if result.Order == nil {
		r.readBack(now, e)
		return
	}
	e.pending = nil
	if result.Accepted {
		r.record(now, e.name, result.Order, "accepted", "")
		return
	}
	e.notUntil = now.Add(r.timing.Backoff)
	r.record(now, e.name, result.Order, "refused", result.Reason)
}

// lost handles an answer that did not come: whether the order was executed is
// unknown, so the engine's state must be read before it is ordered again. The
// backoff is longer than the call's timeout, so a call that is still on its way
// has arrived or died by then.
func (r *Reconciler) lost(now time.Time, e *engine, result Result) {
	e.state = nil
	e.notUntil = now.Add(r.timing.Backoff)
	if result.Order != nil {
		r.record(now, e.name, result.Order, "lost", result.Reason)
	}
}

// readBack settles an order whose answer was lost.
func (r *Reconciler) readBack(now time.Time, e *engine) {
	if e.pending == nil {
		return
	}
	found := "missing"
	for _, id := range e.state.Orders {
		if id == e.pending.ID {
			found = "found"
		}
	}
	r.record(now, e.name, e.pending, found, "")
	e.pending = nil
}

func (r *Reconciler) record(now time.Time, engine string, o *wire.Order, result, reason string) {
	r.log = append(r.log, Record{At: now.Round(0), Engine: engine, Order: *o, Result: result, Reason: reason})
	if excess := len(r.log) - maxRecords; excess > 0 {
		r.log = append([]Record(nil), r.log[excess:]...)
	}
}

// Records returns the newest orders, oldest first.
func (r *Reconciler) Records() []Record { return append([]Record(nil), r.log...) }

// sorted returns the engines by name, so that equal knowledge gives equal
// orders.
func (r *Reconciler) sorted() []*engine {
	all := make([]*engine, 0, len(r.engines))
	for _, e := range r.engines {
		all = append(all, e)
	}
	sort.Slice(all, func(a, b int) bool { return all[a].name < all[b].name })
	return all
}
