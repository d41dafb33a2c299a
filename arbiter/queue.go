package arbiter

import (
	"cmp"
	"slices"
	"time"

	"celeryport/loadshare"
	"celeryport/placement"
	"celeryport/recovery"
	"celeryport/settings"
)

// Fleet is the arbiter's view of the engines of one service.
type Fleet struct {
	Profile *settings.EngineProfile
	Keys    []loadshare.Key
	Engines []placement.Engine
	// Incomplete means that the loads of some instances are not known yet.
	Incomplete bool
	EndRate    float64 // terminations of engines per engine-second
}

// FleetSource supplies the state of the engines to the arbiter and records its placements.
type FleetSource interface {
	// Fleet returns the engines of a service, or nil if the service is unknown.
	Fleet(service string) *Fleet
	// Granted records a placement, until the requester reports its load itself.
	Granted(request *Request, answer *Answer)
}

// pending is a request without a final answer.
type pending struct {
	request    *Request
	acceptedAt time.Time     // arrival of its first transmission
	receivedAt time.Time     // arrival of its latest transmission
	prefill    time.Duration // prefill time on one engine
	age        time.Duration // age of the prompt on arrival of this attempt, if an earlier one was rejected
	score      float64       // rank by the share of the organisation, lowest first
}

func (w *pending) overdue() bool {
	return placement.Overdue(&placement.Call{Age: w.age, Waited: w.age + w.request.Waited, Objective: w.request.Objective})
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

// answered is a sent answer, kept because it may get lost.
type answered struct {
	answer *Answer
	at     time.Time
}

// Queue holds the pending requests. It is not safe for concurrent use.
type Queue struct {
	pending  map[string]*pending
	answered map[string]answered
	refusals refusals
	shares   Shares // nil: organisations have no shares
}

const (
	// requestTTL is how long after its last transmission a request counts as abandoned.
	// Requesters repeat it every 40 ms, so several repeats in a row may be lost.
	requestTTL = 200 * time.Millisecond
	// answerTTL is how long an answer is repeated to the same request.
	answerTTL = time.Second
)

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{pending: map[string]*pending{}, answered: map[string]answered{}, refusals: refusals{}}
}

// HasPending reports whether any request is pending.
func (q *Queue) HasPending() bool { return len(q.pending) > 0 }

// Accept adds or refreshes a request. If it was answered already, the answer is returned.
func (q *Queue) Accept(now time.Time, request *Request) *Answer {
	if s, found := q.answered[request.ID]; found {
		return s.answer
	}
	acceptedAt := now
	if former := q.pending[request.ID]; former != nil {
		acceptedAt = former.acceptedAt
	}
	q.pending[request.ID] = &pending{request: request, acceptedAt: acceptedAt, receivedAt: now, age: q.refusals.age(now.Add(-request.Waited), request.PromptID)}
	return nil
}

// Step decides on the pending requests and returns the answers.
func (q *Queue) Step(now time.Time, source FleetSource) []*Answer {
	q.expire(now)
	var answers []*Answer
	fleets := map[string]*Fleet{}
	ahead := map[string]time.Duration{}
	for _, w := range q.sortPending(now, source, fleets) {
		fleet := fleets[w.request.Service]
		if fleet == nil || len(fleet.Engines) == 0 {
			answers = append(answers, q.recordAnswer(now, &Answer{ID: w.request.ID, Decision: Unknown}))
			continue
		}
		if fleet.Incomplete && now.Sub(w.acceptedAt) < recovery.MaxLoadsWait(w.request.Objective) {
			continue
		}
		answer := decide(now, w, fleet, ahead[w.request.Service])
		if answer.Decision == Waiting {
			ahead[w.request.Service] += w.prefill / time.Duration(max(1, len(fleet.Engines)))
			continue
		}
		if answer.Decision == Placed {
			fleet.record(answer, w.request)
			source.Granted(w.request, answer)
		}
		if answer.Decision == Infeasible {
			q.refusals.record(now.Add(-w.request.Waited-w.age), w.request.PromptID)
		}
		answers = append(answers, q.recordAnswer(now, answer))
	}
	return answers
}

// sortPending returns the pending requests, those with the shortest prefill first: the value of
// a prompt grows linearly with its length, but the prefill grows with the square of it. So this
// order serves the most value if more prompts arrive than the engines can prefill. Prompts of
// organisations above their share come after those, and overdue prompts come last.
func (q *Queue) sortPending(now time.Time, source FleetSource, fleets map[string]*Fleet) []*pending {
	list := make([]*pending, 0, len(q.pending))
	for _, w := range q.pending {
		fleet, known := fleets[w.request.Service]
		if !known {
			fleet = source.Fleet(w.request.Service)
			fleets[w.request.Service] = fleet
		}
		if fleet != nil {
			w.prefill = placement.PrefillTime(fleet.Profile, w.request.Prompt)
		}
		w.score = q.score(now, w)
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b *pending) int {
		return cmp.Or(compareBool(a.overdue(), b.overdue()), cmp.Compare(a.score, b.score), cmp.Compare(a.prefill, b.prefill), cmp.Compare(a.request.ID, b.request.ID))
	})
	return list
}

func (q *Queue) expire(now time.Time) {
	for id, w := range q.pending {
		if now.Sub(w.receivedAt) > requestTTL {
			delete(q.pending, id)
		}
	}
	for id, s := range q.answered {
		if now.Sub(s.at) > answerTTL {
			delete(q.answered, id)
		}
	}
	q.refusals.expire(now)
}

func (q *Queue) recordAnswer(now time.Time, answer *Answer) *Answer {
	delete(q.pending, answer.ID)
	q.answered[answer.ID] = answered{answer: answer, at: now}
	return answer
}

// decide plans one request. The requests before it in the order that still wait take up the
// given prefill time (ahead) on each engine.
func decide(now time.Time, w *pending, fleet *Fleet, ahead time.Duration) *Answer {
	since := now.Sub(w.receivedAt)
	call := &placement.Call{
		Prompt:    w.request.Prompt,
		Answer:    w.request.Answer,
		Objective: w.request.Objective,
		LongPause: w.request.LongPause,
		Remaining: w.request.Remaining - since,
		Waited:    w.request.Waited + w.age + since,
		Age:       w.age,
		Ahead:     ahead,
		EndRate:   fleet.EndRate,
	}
	for i, key := range fleet.Keys {
		fleet.Engines[i].Tried = slices.Contains(w.request.Tried, key)
		fleet.Engines[i].HelpOnly = !w.request.mayLead(key)
	}
	plan, found := placement.Prompt(fleet.Profile, fleet.enginesFor(w.request), call)
	answer := &Answer{ID: w.request.ID, Part: plan.Part + plan.Spacing, FirstEvent: plan.FirstEvent, Excess: plan.Excess, Age: w.age, Seen: plan.Seen}
	switch {
	case plan.Wait > 0:
		answer.Decision = Waiting
	case !found:
		answer.Decision = Infeasible
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

// enginesFor returns the engines as the asking instance may use them.
func (f *Fleet) enginesFor(request *Request) []placement.Engine {
	if len(request.Frail) == 0 {
		return f.Engines
	}
	engines := slices.Clone(f.Engines)
	for i, key := range f.Keys {
		engines[i].Frail = engines[i].Frail || slices.Contains(request.Frail, key)
	}
	return engines
}

// record adds a placed prompt to the loads of the engines.
func (f *Fleet) record(answer *Answer, request *Request) {
	for key, load := range answer.Loads(f.Profile, request) {
		at := slices.Index(f.Keys, key)
		prefill := f.Engines[at].Load.PrefillTime + load.PrefillTime
		f.Engines[at].Load = f.Engines[at].Load.Add(load)
		f.Engines[at].Load.PrefillTime = prefill
	}
}

// Loads returns the load that a placed prompt adds to each of its engines.
func (a *Answer) Loads(p *settings.EngineProfile, request *Request) map[loadshare.Key]loadshare.Load {
	loads := map[loadshare.Key]loadshare.Load{}
	lead := loadshare.Load{Streams: 1, Leading: 1, PrefillTime: a.Part, Held: request.Prompt + request.Answer}
	if placement.Tight(p, request.LongPause) {
		lead.Tight = 1
	}
	for _, key := range a.Helpers {
		loads[key] = loadshare.Load{Helping: 1, PrefillTime: a.Part}
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
