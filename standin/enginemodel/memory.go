package enginemodel

import (
	"slices"
	"time"
)

// free returns the tokens that no request and no reservation holds. The prefix
// cache gives way, so its tokens count as free.
func (e *Engine) free() int {
	return e.config.MemoryTokens - e.held - e.reserved.tokens
}

// admit lets waiting tasks into the batch in order. A task that does not fit
// holds back all behind it: smaller ones that slip past would starve it.
func (e *Engine) admit() {
	e.admitReserved()
	for len(e.waiting) > 0 && e.hasSlot() {
		t := e.waiting[0]
		if t.memory() > e.free()+e.reservedFor(t) {
			return
		}
		e.start(t)
	}
}

// admitReserved lets in, in order, the tasks that have all their memory reserved.
// They take nothing from those ahead of them. If they had to wait behind a task
// that does not fit, and that task waited for the memory which they hold reserved,
// neither would ever start, and the engine would stand still.
func (e *Engine) admitReserved() {
	for len(e.waiting) > 0 && len(e.reserved.list) > 0 && e.hasSlot() {
		var first *task
		for _, t := range e.waiting {
			if e.reservedFor(t) >= t.memory() && (first == nil || t.before(first)) {
				first = t
			}
		}
		if first == nil {
			return
		}
		e.start(first)
	}
}

func (e *Engine) hasSlot() bool {
	return len(e.prefilling)+len(e.decoding) < e.config.MaxRunning
}

// start moves a waiting task into the batch and turns its reservation into its
// memory.
func (e *Engine) start(t *task) {
	e.waiting.remove(t)
	e.reserved.remove(func(r *reservation) bool { return r.reserves(t) })
	e.held += t.memory()
	e.cache.shrink(e.now, e.free())
	e.insertPrefilling(t)
}

// reserves reports whether the reservation was made for the task.
func (r *reservation) reserves(t *task) bool {
	return r.kind == HeldByReservation && r.id == t.ID && r.owner == t.Owner
}

// reservedFor returns the tokens that were reserved for the task beforehand:
// the leading part of a span turns its reservation into its own memory.
func (e *Engine) reservedFor(t *task) int {
	for i := range e.reserved.list {
		if e.reserved.list[i].reserves(t) {
			return e.reserved.list[i].tokens
		}
	}
	return 0
}

// release forgets a task that ended and left the running lists.
func (e *Engine) release(t *task) {
	e.held -= t.memory()
	e.forget(t)
}

func (e *Engine) forget(t *task) {
	delete(e.tasks, t.ID)
	*t = task{}
	e.spare = append(e.spare, t)
}

// drop removes a task from wherever it is.
func (e *Engine) drop(t *task) {
	if t.index != notWaiting {
		e.waiting.remove(t)
		e.forget(t)
		return
	}
	// The steps that are over still belong to the task.
	e.settle()
	e.prefilling = without(e.prefilling, t)
	e.decoding = without(e.decoding, t)
	e.release(t)
}

func without(tasks []*task, t *task) []*task {
	at := slices.Index(tasks, t)
	if at < 0 {
		return tasks
	}
	return slices.Delete(tasks, at, at+1)
}

// Reserve reserves memory for the id, renews its lease, or frees it when tokens
// is 0. It lapses after the lease. A reservation is granted whole or not at all;
// a renewal may change its size. It returns the tokens that are free afterwards.
func (e *Engine) Reserve(now time.Time, id, owner string, tokens int, lease time.Duration) (granted bool, free int) {
	return e.hold(now, HeldByReservation, id, owner, tokens, lease)
}

// Export holds the KV of a finished prompt for a fetch by another engine, under
// the same rules as Reserve.
func (e *Engine) Export(now time.Time, id, owner string, tokens int, lease time.Duration) (granted bool, free int) {
	return e.hold(now, HeldByExport, id, owner, tokens, lease)
}

func (e *Engine) hold(now time.Time, kind HoldingKind, id, owner string, tokens int, lease time.Duration) (bool, int) {
	e.begin(now)
	granted := e.tryHold(kind, id, owner, tokens, lease)
	if granted {
		e.cache.shrink(e.now, e.free())
		e.reconsider()
	}
	return granted, e.free()
}

func (e *Engine) tryHold(kind HoldingKind, id, owner string, tokens int, lease time.Duration) bool {
	if t := e.tasks[id]; t != nil && kind == HeldByReservation && t.index == notWaiting {
		// The reservation became the memory of its running request, which frees it.
		return t.Owner == owner
	}
	since, had := e.now, 0
	at := e.reserved.find(id, kind)
	if at >= 0 {
		old := e.reserved.list[at]
		if old.owner != owner {
			return false
		}
		since, had = old.since, old.tokens
	}
	if tokens < 0 || tokens > e.free()+had || at < 0 && len(e.reserved.list) >= e.config.ReservationsLimit {
		return false
	}
	e.reserved.remove(func(r *reservation) bool { return r.id == id && r.kind == kind })
	if tokens > 0 && lease > 0 {
		until := e.now + int64(lease)
		e.reserved.add(reservation{id: id, owner: owner, kind: kind, tokens: tokens, since: since, until: until})
	}
	return true
}

// Holdings returns all that holds memory: running requests in order of arrival,
// then reservations and exports.
func (e *Engine) Holdings(now time.Time) []Holding {
	e.begin(now)
	held := make([]Holding, 0, len(e.prefilling)+len(e.decoding)+len(e.reserved.list))
	for _, t := range e.running() {
		held = append(held, Holding{
			ID: t.ID, Owner: t.Owner, Tokens: t.memory(), Kind: HeldByRequest,
			Since: e.epoch.Add(time.Duration(t.submitted)),
		})
	}
	for _, r := range e.reserved.list {
		held = append(held, Holding{
			ID: r.id, Owner: r.owner, Tokens: r.tokens, Kind: r.kind,
			Since: e.epoch.Add(time.Duration(r.since)),
		})
	}
	return held
}

func (e *Engine) running() []*task {
	running := slices.Concat(e.prefilling, e.decoding)
	slices.SortFunc(running, func(a, b *task) int { return int(a.sequence) - int(b.sequence) })
	return running
}
