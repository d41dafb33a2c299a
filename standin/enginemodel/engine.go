package enginemodel

import (
	"time"

	"celeryport/upstream"
)

// Engine is the model of one engine. Its methods take the current time, which must
// not decrease between calls. It is not safe for concurrent use.
type Engine struct {
	config   Config
	epoch    time.Time
	now      int64 // nanoseconds since epoch, like all internal times
	sequence uint64

	tasks      map[string]*task
	waiting    waiting
	prefilling []*task // running tasks in prefill, in order of priority and arrival
	decoding   []*task // running tasks that decode, in order of their first token
	released   []*task // released tasks for reuse
	held       int     // memory of the running tasks in tokens
	reserved   reservations
	cache      cache

	phase  phase
	speed  float64
	frozen int64 // while speed is 0: remaining time of the phase at speed 1

	events         []Event
	eventsReturned bool // the events were returned by Advance and may be overwritten
	load           loadLog
}

// New returns an idle engine. Missing values in cfg are replaced by defaults.
func New(cfg Config, now time.Time) *Engine {
	cfg = cfg.withDefaults()
	return &Engine{
		config: cfg,
		epoch:  now,
		tasks:  map[string]*task{},
		cache:  newCache(cfg),
		speed:  1,
		load:   newLoadLog(cfg),
	}
}

// Config returns the parameters of the engine.
func (e *Engine) Config() Config { return e.config }

// Submit adds a job to the queue of the engine. If it returns an error, which is
// ErrInvalid, ErrTooLarge or ErrDuplicate, the job was not accepted.
func (e *Engine) Submit(now time.Time, j Job) error {
	e.advanceTo(now)
	if !j.valid() {
		return ErrInvalid
	}
	if j.memory() > e.config.MemoryTokens {
		return ErrTooLarge
	}
	if _, found := e.tasks[j.ID]; found {
		return ErrDuplicate
	}
	e.sequence++
	t := e.newTask()
	*t = task{Job: j, sequence: e.sequence, submitted: e.now, prefillLeft: j.PromptTokens + j.Offset, generated: j.Offset}
	e.tasks[j.ID] = t
	e.waiting.add(t)
	e.replan()
	return nil
}

// Cancel aborts the job with the id and frees its memory, and releases the
// reservations and exports with the same id. It reports whether there were any.
func (e *Engine) Cancel(now time.Time, id string) bool {
	e.advanceTo(now)
	found := e.reserved.remove(func(r *reservation) bool { return r.id == id }) > 0
	if t, running := e.tasks[id]; running {
		e.removeTask(t)
		found = true
	}
	if found {
		e.replan()
	}
	return found
}

// CancelOwner aborts all jobs and releases all reservations and exports of the owner,
// and returns their number.
func (e *Engine) CancelOwner(now time.Time, owner string) int {
	e.advanceTo(now)
	count := e.reserved.remove(func(r *reservation) bool { return r.owner == owner })
	for _, t := range e.tasks {
		if t.Owner == owner {
			e.removeTask(t)
			count++
		}
	}
	if count > 0 {
		e.replan()
	}
	return count
}

// Adopt changes the owner of the job with the id.
func (e *Engine) Adopt(now time.Time, id, owner string) {
	e.advanceTo(now)
	if t := e.tasks[id]; t != nil {
		t.Owner = owner
	}
}

// Advance brings the engine to the time now and returns all events up to it in
// order. The slice is valid until the next call of any method.
func (e *Engine) Advance(now time.Time) []Event {
	e.advanceTo(now)
	e.eventsReturned = true
	return e.events
}

// Next returns the time of the next change, or the zero time if nothing changes
// without another call.
func (e *Engine) Next() time.Time {
	if e.speed == 0 {
		return time.Time{}
	}
	if e.phase.steps > 0 {
		return e.epoch.Add(time.Duration(e.phase.end()))
	}
	until, found := e.reserved.earliest()
	if found && len(e.waiting) > 0 {
		return e.epoch.Add(time.Duration(until))
	}
	return time.Time{}
}

// SetSpeed changes the speed of the engine from now on. At 0.1 everything takes ten
// times as long; at 0 the engine is frozen.
func (e *Engine) SetSpeed(now time.Time, factor float64) {
	e.advanceTo(now)
	e.shortenPhase()
	work := e.frozen
	if e.speed > 0 && e.phase.steps > 0 {
		work = int64(float64(e.phase.end()-e.now) * e.speed)
	}
	e.speed = max(0, factor)
	e.frozen = work
	if e.speed == 0 {
		return
	}
	e.frozen = 0
	if e.phase.steps > 0 {
		e.phase.step = max(1, e.now+int64(float64(work)/e.speed)-e.phase.start)
		return
	}
	e.startPhase()
}

// CacheEvents returns the cache events published since the last call.
func (e *Engine) CacheEvents(now time.Time) []upstream.CacheEvent {
	e.advanceTo(now)
	return e.cache.takeDue(e.now)
}

// Cached returns the cached tokens of a prefix, 0 if it is not cached.
func (e *Engine) Cached(now time.Time, hash uint64) int {
	e.advanceTo(now)
	return e.cache.lookup(hash)
}

// Import adds a prefix that another engine exported to the cache. It reports whether
// the prefix is cached afterwards.
func (e *Engine) Import(now time.Time, hash uint64, tokens int) bool {
	e.advanceTo(now)
	e.cache.insert(e.now, hash, tokens, e.free())
	return e.cache.lookup(hash) >= tokens
}

// advanceTo brings the state to the time now. Every exported method that takes the
// time calls it first.
func (e *Engine) advanceTo(now time.Time) {
	if e.eventsReturned {
		e.events = e.events[:0]
		e.eventsReturned = false
	}
	e.run(max(e.now, int64(now.Sub(e.epoch))))
}

// newTask returns a task, which is a released one if there is any.
func (e *Engine) newTask() *task {
	if len(e.released) == 0 {
		return new(task)
	}
	last := len(e.released) - 1
	t := e.released[last]
	e.released = e.released[:last]
	return t
}
