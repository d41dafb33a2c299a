package enginemodel

import (
	"math"
	"sort"
	"time"
)

// phase is a series of equal iterations (steps), in each of which the prefill
// advances by the same chunk and each stream decodes one token. Only the end of the
// last step can change the batch or emit an event, so the engine can process the
// whole series at once.
type phase struct {
	start  int64
	step   int64 // duration of one step
	steps  int   // remaining steps; 0: no iteration is running
	shares int   // prompt tokens prefilled in each step
}

func (p *phase) end() int64 { return p.start + int64(p.steps)*p.step }

// run advances the engine to the time now.
func (e *Engine) run(now int64) {
	for e.speed > 0 {
		if e.phase.steps == 0 && !e.resumeAfterExpiry(now) {
			break
		}
		if e.phase.end() > now {
			break
		}
		e.finishPhase()
		e.load.addSample(e, e.now)
		e.startPhase()
	}
	e.now = now
	e.reserved.expire(now)
}

// resumeAfterExpiry starts an idle engine if the expiry of a reservation by the time
// now allows a waiting task to start, and reports whether it did.
func (e *Engine) resumeAfterExpiry(now int64) bool {
	until, found := e.reserved.earliest()
	if len(e.waiting) == 0 || !found || until > now {
		return false
	}
	e.now = until
	e.startPhase()
	return e.phase.steps > 0 || e.resumeAfterExpiry(now)
}

// startPhase admits waiting tasks and plans the next iterations from e.now.
func (e *Engine) startPhase() {
	e.phase = phase{}
	if e.speed == 0 {
		return
	}
	e.reserved.expire(e.now)
	e.admit()
	if len(e.prefilling)+len(e.decoding) == 0 {
		return
	}
	tokens, seconds := e.sharePrefill()
	step := (e.config.DecodeStep.Seconds() + seconds) / e.speed
	e.phase = phase{
		start:  e.now,
		step:   max(1, int64(step*float64(time.Second))),
		shares: tokens,
	}
	e.phase.steps = e.equalSteps()
}

// sharePrefill distributes the chunk of one iteration among the prefilling tasks in
// order of priority and arrival.
func (e *Engine) sharePrefill() (tokens int, seconds float64) {
	budget := e.config.Chunk
	for _, t := range e.prefilling {
		t.share = 0
		if budget == 0 {
			continue
		}
		e.beginPrefill(t)
		t.share = min(budget, t.prefillLeft)
		budget -= t.share
		seconds += t.prefillSeconds(t.share, e.config.PrefillRate)
	}
	return e.config.Chunk - budget, seconds
}

// beginPrefill starts the prefill of a task and skips the part of the prompt that is
// in the prefix cache.
func (e *Engine) beginPrefill(t *task) {
	if t.prefillStarted {
		return
	}
	t.prefillStarted = true
	t.cached = min(e.cache.lookup(t.PrefixHash), t.PrefixTokens, t.PromptTokens-1)
	t.prefillLeft -= t.cached
}

// equalSteps returns the number of iterations until the batch can change or an event
// is emitted.
func (e *Engine) equalSteps() int {
	if !e.config.FirstAndLastOnly && len(e.decoding) > 0 {
		return 1
	}
	steps := math.MaxInt32
	if len(e.prefilling) > 0 {
		first := e.prefilling[0]
		if first.share < e.config.Chunk {
			return 1
		}
		steps = first.prefillLeft / e.config.Chunk
	}
	for _, t := range e.decoding {
		steps = min(steps, t.OutputTokens-t.generated)
	}
	if until, found := e.reserved.earliest(); found && len(e.waiting) > 0 {
		lapse := (until - e.now + e.phase.step - 1) / e.phase.step
		steps = int(min(int64(steps), lapse))
	}
	return max(1, steps)
}

// apply accounts for a number of completed steps of the current phase.
func (e *Engine) apply(steps int) {
	for _, t := range e.prefilling {
		t.prefillLeft -= steps * t.share
	}
	for _, t := range e.decoding {
		t.generated += steps
	}
	e.load.measure(e.phase, steps, len(e.decoding))
	e.phase.start += int64(steps) * e.phase.step
	e.phase.steps -= steps
}

// applyElapsed accounts for the steps completed by e.now; the phase continues.
func (e *Engine) applyElapsed() {
	if e.phase.steps <= 1 || e.speed == 0 {
		return
	}
	over := int((e.now - e.phase.start) / e.phase.step)
	if over > 0 {
		e.apply(min(over, e.phase.steps-1))
	}
}

// shortenPhase shortens the phase to end with the running step.
func (e *Engine) shortenPhase() {
	e.applyElapsed()
	e.phase.steps = min(1, e.phase.steps)
}

// replan is called after an external change: the running step continues, and the
// following steps are planned again.
func (e *Engine) replan() {
	e.shortenPhase()
	if e.phase.steps == 0 {
		e.startPhase()
	}
}

// finishPhase applies the remaining steps of the phase and emits its events.
func (e *Engine) finishPhase() {
	decodes := len(e.decoding)
	e.now = e.phase.end()
	e.apply(e.phase.steps)
	e.emitDecoded(decodes)
	e.emitFirst()
}

// emitDecoded emits the tokens of the first count decoding tasks, which decoded in the
// last step, and releases the finished ones.
func (e *Engine) emitDecoded(count int) {
	kept := e.decoding[:0]
	for _, t := range e.decoding[:count] {
		if !e.config.FirstAndLastOnly {
			e.emit(Token, t)
		}
		if t.generated < t.OutputTokens {
			kept = append(kept, t)
			continue
		}
		e.emit(Finished, t)
		e.release(t)
	}
	clear(e.decoding[len(kept):])
	e.decoding = kept
}

// emitFirst emits the first token of the tasks whose prefill is complete and moves them
// to the decoding tasks. The last iteration of the prefill yields the first token.
func (e *Engine) emitFirst() {
	kept := e.prefilling[:0]
	for _, t := range e.prefilling {
		if t.prefillLeft > 0 {
			kept = append(kept, t)
			continue
		}
		t.generated++
		e.cache.insert(e.now, t.PrefixHash, min(t.PrefixTokens, t.PromptTokens), e.free())
		e.emit(Token, t)
		if t.generated < t.OutputTokens {
			e.decoding = append(e.decoding, t)
			continue
		}
		e.emit(Finished, t)
		e.release(t)
	}
	clear(e.prefilling[len(kept):])
	e.prefilling = kept
}

func (e *Engine) emit(kind EventKind, t *task) {
	at := e.epoch.Add(time.Duration(e.now))
	e.events = append(e.events, Event{At: at, Kind: kind, ID: t.ID, Offset: t.generated, Cached: t.cached})
}

// insertPrefilling inserts a task in order of priority and arrival.
func (e *Engine) insertPrefilling(t *task) {
	at := sort.Search(len(e.prefilling), func(i int) bool { return t.before(e.prefilling[i]) })
	e.prefilling = append(e.prefilling, nil)
	copy(e.prefilling[at+1:], e.prefilling[at:])
	e.prefilling[at] = t
}
