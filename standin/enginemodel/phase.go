package enginemodel

import (
	"math"
	"sort"
	"time"
)

// stretch is a number of equal iterations (steps) in which nothing happens but
// that prefill goes on by the same chunk and each stream decodes one token a
// step. Only the end of its last step may bring an event, so that the engine
// skips ahead over the whole stretch at once.
type stretch struct {
	start  int64
	step   int64 // time of one step
	steps  int   // 0: no iteration under way
	shares int   // tokens that are prefilled in each step
}

func (s *stretch) end() int64 { return s.start + int64(s.steps)*s.step }

// run brings the engine to the time.
func (e *Engine) run(now int64) {
	for e.speed > 0 {
		if e.stretch.steps == 0 && !e.wake(now) {
			break
		}
		if e.stretch.end() > now {
			break
		}
		e.finishStretch()
		e.load.note(e, e.now)
		e.startStretch()
	}
	e.now = now
	e.reserved.expire(now)
}

// wake starts the engine if a lapsed reservation lets a waiting task in.
func (e *Engine) wake(now int64) bool {
	until, some := e.reserved.earliest()
	if len(e.waiting) == 0 || !some || until > now {
		return false
	}
	e.now = until
	e.startStretch()
	return e.stretch.steps > 0 || e.wake(now)
}

// startStretch lets waiting tasks in and plans the next iterations at e.now.
func (e *Engine) startStretch() {
	e.stretch = stretch{}
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
	e.stretch = stretch{
		start:  e.now,
		step:   max(1, int64(step*float64(time.Second))),
		shares: tokens,
	}
	e.stretch.steps = e.equalSteps()
}

// sharePrefill gives the chunk of one iteration to the prefilling tasks by
// priority and arrival.
func (e *Engine) sharePrefill() (tokens int, seconds float64) {
	budget := e.config.Chunk
	for _, t := range e.prefilling {
		t.share = 0
		if budget == 0 {
			continue
		}
		e.beginPrefill(t)
		t.share = min(budget, t.left)
		budget -= t.share
		seconds += t.prefillSeconds(t.share, e.config.PrefillRate)
	}
	return e.config.Chunk - budget, seconds
}

// beginPrefill takes what the prefix cache holds of a prompt that begins now.
func (e *Engine) beginPrefill(t *task) {
	if t.begun {
		return
	}
	t.begun = true
	t.cached = min(e.cache.lookup(t.PrefixHash), t.PrefixTokens, t.PromptTokens-1)
	t.left -= t.cached
}

// equalSteps says for how many iterations nothing changes.
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
		steps = first.left / e.config.Chunk
	}
	for _, t := range e.decoding {
		steps = min(steps, t.OutputTokens-t.made)
	}
	if until, some := e.reserved.earliest(); some && len(e.waiting) > 0 {
		lapse := (until - e.now + e.stretch.step - 1) / e.stretch.step
		steps = int(min(int64(steps), lapse))
	}
	return max(1, steps)
}

// apply accounts for whole steps of the present stretch.
func (e *Engine) apply(steps int) {
	for _, t := range e.prefilling {
		t.left -= steps * t.share
	}
	for _, t := range e.decoding {
		t.made += steps
	}
	e.load.measure(e.stretch, steps, len(e.decoding))
	e.stretch.start += int64(steps) * e.stretch.step
	e.stretch.steps -= steps
}

// settle accounts for the steps that are over at e.now; the stretch goes on.
func (e *Engine) settle() {
	if e.stretch.steps <= 1 || e.speed == 0 {
		return
	}
	over := int((e.now - e.stretch.start) / e.stretch.step)
	if over > 0 {
		e.apply(min(over, e.stretch.steps-1))
	}
}

// cut ends the stretch with the step under way.
func (e *Engine) cut() {
	e.settle()
	e.stretch.steps = min(1, e.stretch.steps)
}

// reconsider is called after a change from outside: the step under way goes on
// and the next one is planned anew.
func (e *Engine) reconsider() {
	e.cut()
	if e.stretch.steps == 0 {
		e.startStretch()
	}
}

// finishStretch applies the rest of the stretch and emits its events.
func (e *Engine) finishStretch() {
	decodes := len(e.decoding)
	e.now = e.stretch.end()
	e.apply(e.stretch.steps)
	e.emitDecoded(decodes)
	e.emitFirst()
}

// emitDecoded emits the tokens of the streams that decoded in the last step.
func (e *Engine) emitDecoded(count int) {
	kept := e.decoding[:0]
	for _, t := range e.decoding[:count] {
		if !e.config.FirstAndLastOnly {
			e.emit(Token, t)
		}
		if t.made < t.OutputTokens {
			kept = append(kept, t)
			continue
		}
		e.emit(Finished, t)
		e.release(t)
	}
	clear(e.decoding[len(kept):])
	e.decoding = kept
}

// emitFirst moves the tasks whose prefill ended to the decoding ones. The
// iteration that ends the prefill yields the first token.
func (e *Engine) emitFirst() {
	kept := e.prefilling[:0]
	for _, t := range e.prefilling {
		if t.left > 0 {
			kept = append(kept, t)
			continue
		}
		t.made++
		e.cache.insert(e.now, t.PrefixHash, min(t.PrefixTokens, t.PromptTokens), e.free())
		e.emit(Token, t)
		if t.made < t.OutputTokens {
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
	e.events = append(e.events, Event{At: at, Kind: kind, ID: t.ID, Offset: t.made, Cached: t.cached})
}

// insertPrefilling keeps the prefilling tasks in order.
func (e *Engine) insertPrefilling(t *task) {
	at := sort.Search(len(e.prefilling), func(i int) bool { return t.before(e.prefilling[i]) })
	e.prefilling = append(e.prefilling, nil)
	copy(e.prefilling[at+1:], e.prefilling[at:])
	e.prefilling[at] = t
}
