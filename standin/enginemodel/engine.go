package enginemodel

import (
	"time"

	"celeryport/upstream"
)

// Engine is one engine. Its methods take the time, which must not go back. It
// is not safe for concurrent use.
type Engine struct {
	config   Config
	epoch    time.Time
	now      int64 // nanoseconds since epoch, as all times inside
	sequence uint64

	tasks      map[string]*task
	waiting    waiting
	prefilling []*task // running, in order of priority and arrival
	decoding   []*task // running, in order of their first token
	spare      []*task // finished tasks for reuse
	held       int     // memory of running tasks
	reserved   reservations
	cache      cache

	stretch stretch
	speed   float64
	frozen  int64 // work left of the stretch, in time at full speed, while speed is 0

	events []Event
	taken  bool // events were returned and may be overwritten
	load   loadLog
}

// New returns an idle engine. Constants that are missing in cfg get defaults.
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

// Config returns the constants of the engine.
func (e *Engine) Config() Config { return e.config }

// Submit gives the engine a job. The error is one of ErrInvalid, ErrTooLarge and
// ErrDuplicate, and nothing was run then.
func (e *Engine) Submit(now time.Time, j Job) error {
	e.begin(now)
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
	*t = task{Job: j, sequence: e.sequence, submitted: e.now, left: j.PromptTokens + j.Offset, made: j.Offset}
	e.tasks[j.ID] = t
	e.waiting.add(t)
	e.reconsider()
	return nil
}

// Cancel ends the job with the id, frees its memory, and frees reservations
// and exports of the same id. It reports whether there was anything.
func (e *Engine) Cancel(now time.Time, id string) bool {
	e.begin(now)
	found := e.reserved.remove(func(r *reservation) bool { return r.id == id }) > 0
	if t, running := e.tasks[id]; running {
		e.drop(t)
		found = true
	}
	if found {
		e.reconsider()
	}
	return found
}

// CancelOwner ends everything of the owner and returns how much that was.
func (e *Engine) CancelOwner(now time.Time, owner string) int {
	e.begin(now)
	count := e.reserved.remove(func(r *reservation) bool { return r.owner == owner })
	for _, t := range e.tasks {
		if t.Owner == owner {
			e.drop(t)
			count++
		}
	}
	if count > 0 {
		e.reconsider()
	}
	return count
}

// Adopt gives the job with the id to another owner.
func (e *Engine) Adopt(now time.Time, id, owner string) {
	e.begin(now)
	if t := e.tasks[id]; t != nil {
		t.Owner = owner
	}
}

// Advance brings the engine to now and returns all events up to it, in order.
// The slice is valid until the next call of any method.
func (e *Engine) Advance(now time.Time) []Event {
	e.begin(now)
	e.taken = true
	return e.events
}

// Next returns the time of the next change, or the zero time if nothing will
// change without a call.
func (e *Engine) Next() time.Time {
	if e.speed == 0 {
		return time.Time{}
	}
	if e.stretch.steps > 0 {
		return e.epoch.Add(time.Duration(e.stretch.end()))
	}
	until, some := e.reserved.earliest()
	if some && len(e.waiting) > 0 {
		return e.epoch.Add(time.Duration(until))
	}
	return time.Time{}
}

// SetSpeed makes the engine slower or faster from now on: at 0.1 everything
// takes ten times as long, at 0 the engine is frozen.
func (e *Engine) SetSpeed(now time.Time, factor float64) {
	e.begin(now)
	e.cut()
	work := e.frozen
	if e.speed > 0 && e.stretch.steps > 0 {
		work = int64(float64(e.stretch.end()-e.now) * e.speed)
	}
	e.speed = max(0, factor)
	e.frozen = work
	if e.speed == 0 {
		return
	}
	e.frozen = 0
	if e.stretch.steps > 0 {
		e.stretch.step = max(1, e.now+int64(float64(work)/e.speed)-e.stretch.start)
		return
	}
	e.startStretch()
}

// CacheEvents returns the cache events that were published since the last call.
func (e *Engine) CacheEvents(now time.Time) []upstream.CacheEvent {
	e.begin(now)
	return e.cache.take(e.now)
}

// Cached returns the cached tokens of a prefix, 0 if it is not cached.
func (e *Engine) Cached(now time.Time, hash uint64) int {
	e.begin(now)
	return e.cache.lookup(hash)
}

// Import puts a prefix that another engine exported into the cache. It reports
// whether the prefix is cached afterwards.
func (e *Engine) Import(now time.Time, hash uint64, tokens int) bool {
	e.begin(now)
	e.cache.insert(e.now, hash, tokens, e.free())
	return e.cache.lookup(hash) >= tokens
}

// begin brings the state to now at the start of each call.
func (e *Engine) begin(now time.Time) {
	if e.taken {
		e.events = e.events[:0]
		e.taken = false
	}
	e.run(max(e.now, int64(now.Sub(e.epoch))))
}

// newTask reuses a finished task.
func (e *Engine) newTask() *task {
	if len(e.spare) == 0 {
		return new(task)
	}
	last := len(e.spare) - 1
	t := e.spare[last]
	e.spare = e.spare[:last]
	return t
}
