package order

import (
	"fmt"
	"sort"
	"time"

	"celeryport/settings"
	"celeryport/upstream"
	"celeryport/upstream/wire"
)

// Reconciler decides which engines to read and which orders to send. It is pure
// and not safe for concurrent use.
//
// Invariants: an engine is sent orders only after its state was read under the
// current issuer; an engine that ignores fencing is neither read nor sent
// orders until every former issuer has stopped; at most one call to an engine
// is in progress; after a lost answer the engine is read before any other call.
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

// NewReconciler returns a reconciler without any engines.
func NewReconciler(timing Timing) *Reconciler {
	return &Reconciler{timing: timing, engines: map[string]*engine{}}
}

// Step applies the current desired state and snapshot and returns the calls to
// make.
func (r *Reconciler) Step(now time.Time, issuer Issuer, tree *settings.Tree, s *upstream.Snapshot) []Action {
	r.setIssuer(issuer)
	if !issuer.Valid(now) || tree == nil || s == nil || !hasDesiredState(tree) {
		return nil
	}
	r.applySnapshot(now, s)
	actions := r.reads(now)
	for _, o := range r.nextChanges(now, tree) {
		actions = append(actions, r.issue(now, o))
	}
	return actions
}

// setIssuer discards the state that was read under another issuer's fence: that
// issuer may have changed the engines since.
func (r *Reconciler) setIssuer(issuer Issuer) {
	if issuer.Fence != r.issuer.Fence {
		for _, e := range r.engines {
			e.state = nil
			e.pending = nil
		}
		r.issued = 0
	}
	r.issuer = issuer
}

// applySnapshot adds and removes engines according to the snapshot.
func (r *Reconciler) applySnapshot(now time.Time, s *upstream.Snapshot) {
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
		r.engines[name].applyAnnouncement(u, now)
	}
	for name, e := range r.engines {
		if !seen[name] && !e.callInProgress {
			delete(r.engines, name)
		}
	}
}

// mayCall reports whether this issuer may read the engine and send it orders.
func (r *Reconciler) mayCall(now time.Time, e *engine) bool {
	return e.fencing == upstream.FencingChecked || r.issuer.FormerIssuersStopped(now, r.timing.TakeoverDelay)
}

// reads returns a read action for each engine whose state is not known.
func (r *Reconciler) reads(now time.Time) []Action {
	var actions []Action
	for _, e := range r.sorted() {
		if !e.callable(now) || !r.mayCall(now, e) || e.stateKnown(now, r.timing.StateLifetime) {
			continue
		}
		e.callInProgress = true
		actions = append(actions, Action{Engine: e.name, Address: e.address, Incarnation: e.incarnation})
	}
	return actions
}

// issue assigns an ID to an order and marks its engine as being called.
func (r *Reconciler) issue(now time.Time, c change) Action {
	r.issued++
	o := &wire.Order{
		ID:    fmt.Sprintf("%d-%d-%d", r.issuer.Fence.Term, r.issuer.Fence.Index, r.issued),
		Term:  r.issuer.Fence.Term,
		Index: r.issuer.Fence.Index,
		Kind:  c.kind,
		Value: c.value,
	}
	c.engine.callInProgress = true
	c.engine.pending = o
	r.record(now, c.engine.name, o, "sent", "")
	return Action{Engine: c.engine.name, Address: c.engine.address, Incarnation: c.engine.incarnation, Order: o}
}

// HandleResult applies the result of an action.
func (r *Reconciler) HandleResult(now time.Time, result Result) {
	e := r.engines[result.Engine]
	if e == nil || e.incarnation != result.Incarnation {
		return
	}
	e.callInProgress = false
	if result.State == nil {
		r.handleLostAnswer(now, e, result)
		return
	}
	e.state = result.State
	e.readAt = now
	if result.Order == nil {
		r.resolvePending(now, e)
		return
	}
	e.pending = nil
	if result.Accepted {
		r.record(now, e.name, result.Order, "accepted", "")
		return
	}
	e.backoffUntil = now.Add(r.timing.Backoff)
	r.record(now, e.name, result.Order, "refused", result.Reason)
}

// handleLostAnswer starts the backoff after a lost answer. It is unknown
// whether the order was executed, so the engine's state must be read before the
// next order. The backoff is longer than the call's timeout, so a call that is
// still in transit has arrived or failed by then.
func (r *Reconciler) handleLostAnswer(now time.Time, e *engine, result Result) {
	e.state = nil
	e.backoffUntil = now.Add(r.timing.Backoff)
	if result.Order != nil {
		r.record(now, e.name, result.Order, "lost", result.Reason)
	}
}

// resolvePending determines the result of an order whose answer was lost.
func (r *Reconciler) resolvePending(now time.Time, e *engine) {
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

// sorted returns the engines by name, so that the same inputs lead to the same
// orders.
func (r *Reconciler) sorted() []*engine {
	all := make([]*engine, 0, len(r.engines))
	for _, e := range r.engines {
		all = append(all, e)
	}
	sort.Slice(all, func(a, b int) bool { return all[a].name < all[b].name })
	return all
}
