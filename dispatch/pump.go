package dispatch

import (
	"time"

	"celeryport/admission"
	"celeryport/request"
	"celeryport/routing"
)

// pump sends what can be sent from all lanes.
func (s *Scheduler) pump(now time.Time) {
	for _, l := range s.targets {
		for _, lane := range l.byKind {
			s.pumpLane(now, lane)
		}
	}
}

// headsTried bounds how many organisations' heads are tried when the first does
// not fit anywhere.
const headsTried = 4

// pumpLane sends from one lane until the heads of its lines find no place.
func (s *Scheduler) pumpLane(now time.Time, lane *laneQueue) {
	s.table.Expire(now)
	pool := s.table.Pool(lane.target)
	if pool == nil {
		return
	}
	for lane.queue.Len() > 0 {
		s.heads = lane.queue.Heads(now, s.byShare(now, lane, pool), s.heads[:0])
		if !s.sendOne(now, pool, lane, s.heads) {
			return
		}
	}
}

func (s *Scheduler) sendOne(now time.Time, pool *routing.Pool, lane *laneQueue, heads []*admission.Ticket) bool {
	least, waits := s.leastWaitingShare(now, lane, pool)
	for i, t := range heads {
		if i == headsTried || heldBack(now, t, least, waits) {
			return false
		}
		if s.place(now, pool, t.Value.(*job)) {
			return true
		}
	}
	return false
}

// place sends the job if there is a place for it.
func (s *Scheduler) place(now time.Time, pool *routing.Pool, j *job) bool {
	if j.lane.kind == spanLane {
		return s.placeSpan(now, pool, j)
	}
	a := s.ask(j)
	choice, found := s.choose(now, pool, &a, j)
	if !found {
		return false
	}
	s.dequeue(j)
	j.send = routing.Send{At: now, Prefill: a.Prefill - choice.Cached, Memory: a.Memory, Long: a.Long, Lead: true}
	choice.Node.Begin(&j.send)
	j.placement = undivided(choice.Node)
	s.sent(now, j, choice.FirstToken())
	return true
}

func (s *Scheduler) ask(j *job) routing.Ask {
	r := j.request
	a := routing.Ask{Long: r.Long, Avoid: j.avoid}
	if r.Kind == request.Prompt {
		a.Prefill = r.PromptTokens
		a.Memory = r.Tokens()
		a.PrefixHash = r.PrefixHash
		a.PrefixTokens = r.PrefixTokens
	} else {
		a.InFlight = s.services[r.Target]
	}
	return a
}

func (s *Scheduler) choose(now time.Time, pool *routing.Pool, a *routing.Ask, j *job) (routing.Choice, bool) {
	if !j.request.NoRepeat && !a.Long {
		if probe, found := pool.Probe(now, a); found {
			j.probe = true
			return probe, true
		}
	}
	if j.lane.kind == longLane {
		a.Overdue = overdue(now, j.request) && large(j.request, pool)
		choice, found := pool.ChooseLong(now, s.random, a, aged(now, j.request))
		return choice, found && choice.Wait <= s.longWindow(now, j.request)
	}
	choice, found := pool.Choose(now, s.random, a)
	return choice, found && choice.Wait <= s.config.ShortWindow
}

// longWindow is the queued prefill behind which a long request is sent. An aged
// one goes before most of it.
func (s *Scheduler) longWindow(now time.Time, r *request.Request) time.Duration {
	if aged(now, r) {
		return s.config.AgedWindow
	}
	return s.config.LongWindow
}

func (s *Scheduler) placeSpan(now time.Time, pool *routing.Pool, j *job) bool {
	parts, choice, found := pool.ChooseSpan(now, j.tokens())
	if !found || choice.Wait > s.longWindow(now, j.request) {
		return false
	}
	s.dequeue(j)
	j.span = j.span[:0]
	for _, part := range parts {
		send := &routing.Send{At: now, Memory: part.Tokens, Long: true, Lead: part.Lead}
		if part.Lead {
			send.Prefill = j.request.PromptTokens
		}
		part.Node.Begin(send)
		j.span = append(j.span, send)
	}
	j.placement = spanPlacement(parts)
	s.sent(now, j, choice.FirstToken())
	return true
}

// sent gives the Send action of a job that has its placement.
func (s *Scheduler) sent(now time.Time, j *job, firstToken time.Duration) {
	j.phase = running
	j.attempts++
	j.request.Attempt++
	j.sentAt = now
	j.predicted = firstToken
	j.charged = float64(j.tokens())
	j.account.Usage.Add(now, j.charged)
	j.lane.sent.Add(now, float64(j.request.PromptTokens))
	s.actions = append(s.actions, Action{
		Kind:      Send,
		Request:   j.request,
		Attempt:   j.request.Attempt,
		Placement: j.placement,
		Priority:  enginePriority(now, j.request),
	})
}

// lengthPriority lifts every short request above every long one on the engine,
// and every small one above both.
const lengthPriority = 1000

// agedPart is the part of its time after which a waiting long request counts as
// aged.
const agedPart = 0.25

// aged says that a long request has waited so long that it must get on. Without
// it a flood of short requests, which are always before it on the engines, would
// hold it until its deadline.
func aged(now time.Time, r *request.Request) bool {
	return r.Long && now.Sub(r.Arrival) > time.Duration(agedPart*float64(r.Deadline.Sub(r.Arrival)))
}

// enginePriority is the priority on the engine: length first, then class. A long
// prompt gives way at the next iteration to any short one, whatever their
// classes are: it loses milliseconds, while the short one would lose seconds.
func enginePriority(now time.Time, r *request.Request) int {
	switch {
	case aged(now, r):
		return r.Priority + lengthPriority
	case r.Long:
		return r.Priority
	case routing.Small(r.PromptTokens):
		return r.Priority + 2*lengthPriority
	default:
		return r.Priority + lengthPriority
	}
}
