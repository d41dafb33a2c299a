package dispatch

import (
	"time"

	"celeryport/admission"
	"celeryport/request"
	"celeryport/routing"
)

// pump sends all requests that can be sent from all lanes.
func (s *Scheduler) pump(now time.Time) {
	for _, l := range s.targets {
		for _, lane := range l.byKind {
			s.pumpLane(now, lane)
		}
	}
}

// maxHeadsTried bounds the number of organisations whose head request is tried
// when earlier heads fit on no node.
const maxHeadsTried = 4

// pumpLane sends requests from one lane until none of the queue heads can be
// placed.
func (s *Scheduler) pumpLane(now time.Time, lane *laneQueue) {
	s.table.Expire(now)
	pool := s.table.Pool(lane.target)
	if pool == nil {
		return
	}
	for lane.queue.Len() > 0 {
		s.tickets = lane.queue.Heads(now, s.servedByShare(now, lane, pool), s.tickets[:0])
		if !s.sendOne(now, pool, lane, s.tickets) {
			return
		}
	}
}

// sendOne sends the first of the heads that can be placed and reports whether
// there was one. It stops at the first organisation that must leave its place to
// another one.
func (s *Scheduler) sendOne(now time.Time, pool *routing.Pool, lane *laneQueue, heads []*admission.Ticket) bool {
	least, waits := s.leastWaitingShare(now, lane, pool)
	for i, t := range heads {
		if i == maxHeadsTried || yieldsPlace(now, t, least, waits) {
			return false
		}
		if s.place(now, pool, t.Value.(*job)) {
			return true
		}
	}
	return false
}

// place sends the job if a node has room for it.
func (s *Scheduler) place(now time.Time, pool *routing.Pool, j *job) bool {
	if j.lane.kind == spanLane {
		return s.placeSpan(now, pool, j)
	}
	need := s.requirements(now, j)
	choice, found := s.choose(now, pool, &need, j)
	if !found {
		return false
	}
	s.dequeue(j)
	j.send = routing.Send{At: now, Prefill: need.Prefill - choice.Cached, Memory: need.Memory, Long: need.Long, Lead: true}
	choice.Node.Begin(&j.send)
	j.placement = singleNodePlacement(choice.Node)
	s.emitSend(now, j, choice.FirstToken())
	return true
}

func (s *Scheduler) requirements(now time.Time, j *job) routing.Requirements {
	r := j.request
	need := routing.Requirements{Long: r.Long, Once: r.NoRepeat, Wary: wary(now, r), Avoid: j.avoid}
	if r.Kind == request.Prompt {
		need.Prefill = r.PromptTokens
		need.Memory = r.Tokens()
		need.PrefixHash = r.PrefixHash
		need.PrefixTokens = r.PrefixTokens
	} else {
		need.InFlight = s.services[r.Target]
	}
	return need
}

func (s *Scheduler) choose(now time.Time, pool *routing.Pool, need *routing.Requirements, j *job) (routing.Choice, bool) {
	if !need.Long {
		if probe, found := pool.Probe(now, need); found {
			j.probe = true
			return probe, true
		}
	}
	if j.lane.kind == longLane {
		need.Overdue = overdue(now, j.request) && isLarge(j.request, pool)
		choice, found := pool.ChooseLong(now, s.random, need, aged(now, j.request))
		return choice, found && choice.Wait <= s.longWindow(now, j.request)
	}
	choice, found := pool.Choose(now, s.random, need)
	return choice, found && choice.Wait <= s.config.ShortWindow
}

// longWindow returns the maximum queued prefill behind which a long request is
// sent. An aged request has priority over most of that prefill.
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
	s.emitSend(now, j, choice.FirstToken())
	return true
}

// emitSend emits the Send action of a placed job.
func (s *Scheduler) emitSend(now time.Time, j *job, firstToken time.Duration) {
	j.phase = running
	j.awaiting = true
	j.lane.lateness.await(now)
	j.attempts++
	j.request.Attempt++
	j.sentAt = now
	j.predicted = firstToken
	j.charged = float64(j.tokens())
	j.account.Usage.Add(now, j.charged)
	j.lane.sendRate.Add(now, float64(j.request.PromptTokens))
	s.actions = append(s.actions, Action{
		Kind:      Send,
		Request:   j.request,
		Attempt:   j.request.Attempt,
		Placement: j.placement,
		Priority:  enginePriority(now, j.request),
	})
}

// lengthPriority is the priority offset on the engine that ranks every short
// request above every long one, and every small one above both.
const lengthPriority = 1000

// agedFraction is the fraction of the time up to its deadline after which a
// waiting long request counts as aged.
const agedFraction = 0.25

// aged reports whether a long request has waited so long that its priority must
// be raised. Otherwise a flood of short requests, which always precede it on
// the engines, would hold it until its deadline.
func aged(now time.Time, r *request.Request) bool {
	return r.Long && now.Sub(r.Arrival) > time.Duration(agedFraction*float64(r.Deadline.Sub(r.Arrival)))
}

// enginePriority returns the priority on the engine: length first, then class.
// An aged long prompt ranks like a short one. Any other long prompt yields to any short one at
// the next iteration, whatever their classes: this costs it milliseconds, while waiting would
// cost the short one seconds.
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
