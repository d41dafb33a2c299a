package order

import (
	"cmp"
	"slices"
	"time"

	"celeryport/settings"
	"celeryport/upstream/wire"
)

// maxLoading is the maximum number of engines that load a model at the same
// time. The weight store is rate-limited, and loading on many engines at once
// delays each of them.
const maxLoading = 2

// hasDesiredState reports whether the tree specifies a desired state for any
// engine. If it does not, the engines are not read either.
func hasDesiredState(tree *settings.Tree) bool {
	return slices.ContainsFunc(tree.Models, func(m settings.Model) bool {
		return m.Version != "" || m.Role != "" || m.Replicas > 0 || len(m.Adapters) > 0
	})
}

// change is an order that brings an engine closer to the desired state.
type change struct {
	engine *engine
	kind   wire.OrderKind
	value  string
}

// nextChanges returns at most one order for each engine that can be sent one now.
func (r *Reconciler) nextChanges(now time.Time, tree *settings.Tree) []change {
	var changes []change
	assigned := map[string]bool{}
	for _, c := range r.replicaChanges(tree) {
		if r.ready(now, c.engine) && !assigned[c.engine.name] {
			assigned[c.engine.name] = true
			changes = append(changes, c)
		}
	}
	for _, e := range r.sorted() {
		if assigned[e.name] || !r.ready(now, e) {
			continue
		}
		if c, found := contentChange(e, tree); found {
			changes = append(changes, c)
		}
	}
	return changes
}

// ready reports whether an engine may be sent an order: its state was read
// under this issuer and no call is in progress.
func (r *Reconciler) ready(now time.Time, e *engine) bool {
	return e.callable(now) && r.mayCall(now, e) && e.stateKnown(now, r.timing.StateLifetime) && e.pending == nil
}

// replicaChanges returns orders that load models with too few replicas onto
// engines that serve no model of the tree, and unload models with too many.
func (r *Reconciler) replicaChanges(tree *settings.Tree) []change {
	spare := r.spare(tree)
	var changes []change
	for _, m := range tree.Models {
		if m.Replicas == 0 {
			continue
		}
		serving := r.serving(m.Name)
		missing := min(m.Replicas-len(serving), maxLoading-r.loading(), len(spare))
		for range max(0, missing) {
			changes = append(changes, change{engine: spare[0], kind: wire.OrderLoadModel, value: m.Name})
			spare = spare[1:]
		}
		for i := m.Replicas; i < len(serving); i++ {
			changes = append(changes, change{engine: serving[i], kind: wire.OrderUnloadModel, value: m.Name})
		}
	}
	return changes
}

// serving returns the fresh engines that serve the model or have a pending
// order to load it, by name.
func (r *Reconciler) serving(model string) []*engine {
	var found []*engine
	for _, e := range r.sorted() {
		loading := e.pending != nil && e.pending.Kind == wire.OrderLoadModel && e.pending.Value == model
		if e.fresh && (e.serves(model) || loading) {
			found = append(found, e)
		}
	}
	return found
}

// spare returns the fresh engines that are known to serve no model of the tree.
func (r *Reconciler) spare(tree *settings.Tree) []*engine {
	var found []*engine
	for _, e := range r.sorted() {
		if e.fresh && e.state != nil && e.pending == nil && !servesAny(e, tree) {
			found = append(found, e)
		}
	}
	return found
}

func servesAny(e *engine, tree *settings.Tree) bool {
	return slices.ContainsFunc(tree.Models, func(m settings.Model) bool { return e.serves(m.Name) })
}

func (r *Reconciler) loading() int {
	count := 0
	for _, e := range r.engines {
		if e.pending != nil && e.pending.Kind == wire.OrderLoadModel {
			count++
		}
	}
	return count
}

// contentChange compares the version, the role and the adapters of an engine with
// the desired ones of the models that it serves. Values that the tree leaves
// empty are not changed. If two models on one engine specify different values,
// the first in the tree takes precedence; otherwise the engine would alternate
// between them indefinitely.
func contentChange(e *engine, tree *settings.Tree) (change, bool) {
	var version, role string
	var adapters []string
	for i := range tree.Models {
		m := &tree.Models[i]
		if !e.serves(m.Name) {
			continue
		}
		version = cmp.Or(version, m.Version)
		role = cmp.Or(role, m.Role)
		adapters = append(adapters, m.Adapters...)
	}
	if version != "" && version != e.state.Version {
		return change{engine: e, kind: wire.OrderVersion, value: version}, true
	}
	if role != "" && role != e.state.Role {
		return change{engine: e, kind: wire.OrderRole, value: role}, true
	}
	return adapterChange(e, adapters)
}

func adapterChange(e *engine, desired []string) (change, bool) {
	for _, adapter := range desired {
		if !slices.Contains(e.state.Adapters, adapter) {
			return change{engine: e, kind: wire.OrderLoadAdapter, value: adapter}, true
		}
	}
	if len(desired) == 0 {
		return change{}, false
	}
	for _, adapter := range e.state.Adapters {
		if !slices.Contains(desired, adapter) {
			return change{engine: e, kind: wire.OrderUnloadAdapter, value: adapter}, true
		}
	}
	return change{}, false
}
