package arbiter

import (
	"cmp"
	"slices"
	"time"

	"celeryport/loadshare"
	"celeryport/placement"
	"celeryport/settings"
)

// Fleet is what the arbiter knows of the engines of one service.
type Fleet struct {
	Profile *settings.EngineProfile
	Keys    []loadshare.Key
	Engines []placement.Engine
}

// World gives the arbiter its knowledge and takes what it gave away.
type World interface {
	// Fleet returns the engines of a service, nil if the service is not known.
	Fleet(service string) *Fleet
	// Granted notes that a prompt was given a place, until the one who asked tells of
	// it itself.
	Granted(ask *Ask, answer *Answer)
}

// waiting is an ask that has no place yet.
type waiting struct {
	ask     *Ask
	heardAt time.Time
	reading time.Duration // on one engine
	age     time.Duration // of the prompt when this try came, if an earlier one was refused
}

func (w *waiting) overdue() bool {
	return placement.Overdue(&placement.Call{Age: w.age, Waited: w.age + w.ask.Waited, Objective: w.ask.Objective})
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// settled is an answer that may be lost on its way.
type settled struct {
	answer *Answer
	at     time.Time
}

// Queue holds the asks that wait. It is not safe for concurrent use.
type Queue struct {
	waiting  map[string]*waiting
	settled  map[string]settled
	returned returned
}

const (
	// askForgotten is how long after its last word an ask counts as given up. It is
	// repeated three times as often.
	askForgotten = 200 * time.Millisecond
	// answerKept is how long an answer is repeated to the same ask.
	answerKept = time.Second
)

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{waiting: map[string]*waiting{}, settled: map[string]settled{}, returned: returned{}}
}

// Waits reports whether any ask has no answer yet.
func (q *Queue) Waits() bool { return len(q.waiting) > 0 }

// Take takes in an ask and returns the answer if it has one already.
func (q *Queue) Take(now time.Time, ask *Ask) *Answer {
	if s, found := q.settled[ask.ID]; found {
		return s.answer
	}
	q.waiting[ask.ID] = &waiting{ask: ask, heardAt: now, age: q.returned.age(now.Add(-ask.Waited), ask.PromptID)}
	return nil
}

// Step decides for those that wait and returns the answers.
func (q *Queue) Step(now time.Time, world World) []*Answer {
	q.forget(now)
	var answers []*Answer
	fleets := map[string]*Fleet{}
	ahead := map[string]time.Duration{}
	for _, w := range q.order(world, fleets) {
		fleet := fleets[w.ask.Service]
		if fleet == nil || len(fleet.Engines) == 0 {
			answers = append(answers, q.settle(now, &Answer{ID: w.ask.ID, Decision: Unknown}))
			continue
		}
		answer := decide(now, w, fleet, ahead[w.ask.Service])
		if answer.Decision == Waiting {
			ahead[w.ask.Service] += w.reading / time.Duration(max(1, len(fleet.Engines)))
			continue
		}
		if answer.Decision == Placed {
			fleet.note(answer, w.ask)
			world.Granted(w.ask, answer)
		}
		if answer.Decision == Hopeless {
			q.returned.note(now.Add(-w.ask.Waited-w.age), w.ask.PromptID)
		}
		answers = append(answers, q.settle(now, answer))
	}
	return answers
}

// order lists the asks that wait, those with the least to read first: what a prompt
// is worth grows with its length, and the reading with the square of it. While more
// comes than the engines can read, that serves the most. Those that are late anyhow
// come last.
func (q *Queue) order(world World, fleets map[string]*Fleet) []*waiting {
	list := make([]*waiting, 0, len(q.waiting))
	for _, w := range q.waiting {
		fleet, known := fleets[w.ask.Service]
		if !known {
			fleet = world.Fleet(w.ask.Service)
			fleets[w.ask.Service] = fleet
		}
		if fleet != nil {
			w.reading = placement.Reading(fleet.Profile, w.ask.Prompt)
		}
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b *waiting) int {
		return cmp.Or(compareBool(a.overdue(), b.overdue()), cmp.Compare(a.reading, b.reading), cmp.Compare(a.ask.ID, b.ask.ID))
	})
	return list
}

func (q *Queue) forget(now time.Time) {
	for id, w := range q.waiting {
		if now.Sub(w.heardAt) > askForgotten {
			delete(q.waiting, id)
		}
	}
	for id, s := range q.settled {
		if now.Sub(s.at) > answerKept {
			delete(q.settled, id)
		}
	}
	q.returned.forget(now)
}

func (q *Queue) settle(now time.Time, answer *Answer) *Answer {
	delete(q.waiting, answer.ID)
	q.settled[answer.ID] = settled{answer: answer, at: now}
	return answer
}

// decide plans one ask. Those that come before it in the order and still wait read
// for as long as ahead at each engine.
func decide(now time.Time, w *waiting, fleet *Fleet, ahead time.Duration) *Answer {
	since := now.Sub(w.heardAt)
	call := &placement.Call{
		Prompt:    w.ask.Prompt,
		Answer:    w.ask.Answer,
		Objective: w.ask.Objective,
		LongPause: w.ask.LongPause,
		Left:      w.ask.Left - since,
		Waited:    w.ask.Waited + w.age + since,
		Age:       w.age,
		Ahead:     ahead,
	}
	for i, key := range fleet.Keys {
		fleet.Engines[i].Tried = slices.Contains(w.ask.Tried, key)
		fleet.Engines[i].HelpOnly = !w.ask.mayLead(key)
	}
	plan, found := placement.Prompt(fleet.Profile, fleet.Engines, call)
	answer := &Answer{ID: w.ask.ID, Part: plan.Part + plan.Apart, FirstEvent: plan.FirstEvent, Excess: plan.Excess, Age: w.age, Seen: plan.Seen}
	switch {
	case plan.Wait > 0:
		answer.Decision = Waiting
	case !found:
		answer.Decision = Hopeless
	default:
		answer.Decision = Placed
		answer.Lead = fleet.Keys[plan.Lead]
		for _, i := range plan.Helpers {
			answer.Helpers = append(answer.Helpers, fleet.Keys[i])
		}
		for _, r := range plan.Reserved {
			answer.Reserved = append(answer.Reserved, Reserved{Engine: fleet.Keys[r.Engine], Tokens: r.Tokens})
		}
	}
	return answer
}

// note adds a prompt that was given a place to the loads.
func (f *Fleet) note(answer *Answer, ask *Ask) {
	for key, load := range answer.Loads(f.Profile, ask) {
		at := slices.Index(f.Keys, key)
		reading := f.Engines[at].Load.Reading + load.Reading
		f.Engines[at].Load = f.Engines[at].Load.Add(load)
		f.Engines[at].Load.Reading = reading
	}
}

// Loads returns what a placed prompt loads its engines with.
func (a *Answer) Loads(p *settings.EngineProfile, ask *Ask) map[loadshare.Key]loadshare.Load {
	loads := map[loadshare.Key]loadshare.Load{}
	lead := loadshare.Load{Streams: 1, Leading: 1, Reading: a.Part, Held: ask.Prompt + ask.Answer}
	if placement.Tight(p, ask.LongPause) {
		lead.Tight = 1
	}
	for _, key := range a.Helpers {
		loads[key] = loadshare.Load{Helping: 1, Reading: a.Part}
	}
	for _, r := range a.Reserved {
		load := loads[r.Engine]
		load.Held = r.Tokens
		loads[r.Engine] = load
		lead.Held -= r.Tokens
	}
	loads[a.Lead] = lead
	return loads
}
