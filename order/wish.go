package order

import (
	"cmp"
	"slices"
	"time"

	"celeryport/settings"
	"celeryport/upstream/wire"
)

// maxLoading is how many engines may load a model at a time: the weight store is
// rate-limited, and loading many at once makes each of them late.
const maxLoading = 2

// wishes reports whether the tree wishes anything of any engine. Without wishes
// the engines are not even read.
func wishes(tree *settings.Tree) bool {
	return slices.ContainsFunc(tree.Models, func(m settings.Model) bool {
		return m.Version != "" || m.Role != "" || m.Replicas > 0 || len(m.Adapters) > 0
	})
}

// want is an order that would bring an engine nearer to the wishes.
type want struct {
	engine *engine
	kind   wire.OrderKind
	value  string
}

// wanted returns at most one order for each engine that can be ordered now.
func (r *Reconciler) wanted(now time.Time, tree *settings.Tree) []want {
	var wants []want
	taken := map[string]bool{}
	for _, w := range r.replicaWants(tree) {
		if r.ready(now, w.engine) && !taken[w.engine.name] {
			taken[w.engine.name] = true
			wants = append(wants, w)
		}
	}
	for _, e := range r.sorted() {
		if taken[e.name] || !r.ready(now, e) {
			continue
		}
		if w, found := contentWant(e, tree); found {
			wants = append(wants, w)
		}
	}
	return wants
}

// ready reports whether an engine may be ordered: it was read under this issuer
// and nothing is under way.
func (r *Reconciler) ready(now time.Time, e *engine) bool {
	return e.free(now) && r.mayTouch(now, e) && e.known(now, r.timing.Reread) && e.pending == nil
}

// replicaWants loads models that run on too few engines onto engines that serve
// no model of the tree, and unloads those that run on too many.
func (r *Reconciler) replicaWants(tree *settings.Tree) []want {
	spare := r.spare(tree)
	var wants []want
	for _, m := range tree.Models {
		if m.Replicas == 0 {
			continue
		}
		serving := r.serving(m.Name)
		missing := min(m.Replicas-len(serving), maxLoading-r.loading(), len(spare))
		for range max(0, missing) {
			wants = append(wants, want{engine: spare[0], kind: wire.OrderLoadModel, value: m.Name})
			spare = spare[1:]
		}
		for i := m.Replicas; i < len(serving); i++ {
			wants = append(wants, want{engine: serving[i], kind: wire.OrderUnloadModel, value: m.Name})
		}
	}
	return wants
}

// serving returns the fresh engines that have the model, and those that are
// being ordered to load it, by name.
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

// contentWant compares the version, the role and the adapters of an engine with
// the wishes for the models that it serves. What the tree leaves empty stays as
// it is. Of two models on one engine that wish differently the first in the tree
// decides; otherwise the engine would be ordered to and fro for ever.
func contentWant(e *engine, tree *settings.Tree) (want, bool) {
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
		return want{engine: e, kind: wire.OrderVersion, value: version}, true
	}
	if role != "" && role != e.state.Role {
		return want{engine: e, kind: wire.OrderRole, value: role}, true
	}
	return adapterWant(e, adapters)
}

func adapterWant(e *engine, wished []string) (want, bool) {
	for _, adapter := range wished {
		if !slices.Contains(e.state.Adapters, adapter) {
			return want{engine: e, kind: wire.OrderLoadAdapter, value: adapter}, true
		}
	}
	if len(wished) == 0 {
		return want{}, false
	}
	for _, adapter := range e.state.Adapters {
		if !slices.Contains(wished, adapter) {
			return want{engine: e, kind: wire.OrderUnloadAdapter, value: adapter}, true
		}
	}
	return want{}, false
}
