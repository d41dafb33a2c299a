package enginemodel

import (
	"slices"
	"time"
)

// free returns the memory in tokens that no request, reservation or export holds. The
// memory of the prefix cache counts as free, because the cache is evicted on demand.
func (e *Engine) free() int {
	return e.config.MemoryTokens - e.held - e.reserved.tokens
}

// admit moves waiting tasks into the batch in order. A task that does not fit blocks
// all tasks behind it, because smaller ones that overtake it could starve it.
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

// admitReserved admits, in order, the tasks whose memory is fully reserved. They need
// no memory for which other tasks wait. If they had to wait behind a task that does
// not fit, and that task waited for their reserved memory, neither would ever start:
// a deadlock.
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

// start moves a waiting task into the batch and converts its reservation to memory of
// the task.
func (e *Engine) start(t *task) {
	e.waiting.remove(t)
	e.reserved.remove(func(r *reservation) bool { return r.reserves(t) })
	e.held += t.memory()
	e.cache.shrink(e.now, e.free())
	e.insertPrefilling(t)
}

// reserves reports whether the reservation is for the task.
func (r *reservation) reserves(t *task) bool {
	return r.kind == HeldByReservation && r.id == t.ID && r.owner == t.Owner
}

// reservedFor returns the memory in tokens that is reserved for the task. The leading
// part of a span converts its reservation to its own memory when it starts.
func (e *Engine) reservedFor(t *task) int {
	for i := range e.reserved.list {
		if e.reserved.list[i].reserves(t) {
			return e.reserved.list[i].tokens
		}
	}
	return 0
}

// release frees the memory of a task that has been removed from the running lists.
func (e *Engine) release(t *task) {
	e.held -= t.memory()
	e.recycle(t)
}

func (e *Engine) recycle(t *task) {
	delete(e.tasks, t.ID)
	*t = task{}
	e.released = append(e.released, t)
}

// removeTask removes a waiting or running task.
func (e *Engine) removeTask(t *task) {
	if t.index != notWaiting {
		e.waiting.remove(t)
		e.recycle(t)
		return
	}
	// The completed steps must still be accounted to the task.
	e.applyElapsed()
	e.prefilling = removeFrom(e.prefilling, t)
	e.decoding = removeFrom(e.decoding, t)
	e.release(t)
}

func removeFrom(tasks []*task, t *task) []*task {
	at := slices.Index(tasks, t)
	if at < 0 {
		return tasks
	}
	return slices.Delete(tasks, at, at+1)
}

// Reserve reserves memory for the id, renews its lease, or releases the reservation if
// tokens is 0. The reservation expires with its lease. It is granted completely or not
// at all, and a renewal may change its size. The result free is the free memory in
// tokens afterwards.
func (e *Engine) Reserve(now time.Time, id, owner string, tokens int, lease time.Duration) (granted bool, free int) {
	return e.hold(now, HeldByReservation, id, owner, tokens, lease)
}

// Export holds memory for the KV cache of a prefix until another engine has
// transferred it, under the same rules as Reserve.
func (e *Engine) Export(now time.Time, id, owner string, tokens int, lease time.Duration) (granted bool, free int) {
	return e.hold(now, HeldByExport, id, owner, tokens, lease)
}

func (e *Engine) hold(now time.Time, kind HoldingKind, id, owner string, tokens int, lease time.Duration) (bool, int) {
	e.advanceTo(now)
	granted := e.tryHold(kind, id, owner, tokens, lease)
	if granted {
		e.cache.shrink(e.now, e.free())
		e.replan()
	}
	return granted, e.free()
}

func (e *Engine) tryHold(kind HoldingKind, id, owner string, tokens int, lease time.Duration) bool {
	if t := e.tasks[id]; t != nil && kind == HeldByReservation && t.index == notWaiting {
		// The reservation has become memory of the running request, which frees it at its end.
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

// Holdings returns the running requests in order of arrival, followed by the
// reservations and exports.
func (e *Engine) Holdings(now time.Time) []Holding {
	e.advanceTo(now)
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
