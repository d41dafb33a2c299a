package dispatch

import (
	"time"

	"celeryport/admission"
	"celeryport/quota"
	"celeryport/request"
	"celeryport/routing"
	"celeryport/verdict"
)

// announceInterval is the retry delay reported for a target without upstreams:
// the interval after which a new announcement may have arrived.
const announceInterval = time.Second

// Offer implements Dispatcher.
func (s *Scheduler) Offer(now time.Time, r *request.Request) {
	s.begin()
	s.table.Expire(now)
	account := s.account(r.Organisation)
	account.CountOffered(now, r.Tokens())
	lanes := s.lanesOf(r.Target)
	lanes.recordOffer(now, r, account)
	pool := s.table.Pool(r.Target)
	if err := s.admit(now, r, account, pool); err != nil {
		s.refuse(r, err)
		return
	}
	j := s.newJob(r, account)
	j.lane = lanes.byKind[laneFor(r, pool)]
	j.ticket.Span = j.lane.kind == spanLane
	if err := s.checkDeadline(now, j, pool); err != nil {
		s.release(j)
		s.refuse(r, err)
		return
	}
	s.accept(now, j)
	s.enqueue(j)
	s.pumpLane(now, j.lane)
	s.checkQueued(now, j)
}

func (l *lanes) recordOffer(now time.Time, r *request.Request, a *admission.Account) {
	if r.Kind != request.Prompt {
		return
	}
	tokens := mixOf(r)
	a.CountPrompt(now, tokens)
	l.mix.Add(now, tokens)
}

func mixOf(r *request.Request) quota.Mix {
	tokens := float64(r.PromptTokens)
	switch {
	case r.Long:
		return quota.Mix{Long: tokens}
	case routing.Small(r.PromptTokens):
		return quota.Mix{Small: tokens}
	default:
		return quota.Mix{Middle: tokens}
	}
}

// laneFor returns the lane of a request.
func laneFor(r *request.Request, pool *routing.Pool) laneKind {
	switch {
	case r.Kind == request.Prompt && r.Tokens() > pool.Largest():
		return spanLane
	case r.Long:
		return longLane
	default:
		return shortLane
	}
}

// admit performs the admission checks that do not depend on the queues.
func (s *Scheduler) admit(now time.Time, r *request.Request, a *admission.Account, pool *routing.Pool) *verdict.Error {
	if pool == nil || pool.Size() == 0 {
		return verdict.Refuse(verdict.ReasonNoUpstream, announceInterval, "no fresh upstream serves %s", r.Target)
	}
	if err := s.checkFits(r, pool); err != nil {
		return err
	}
	if within, after := a.WithinLimits(now, r.Tokens()); !within {
		return verdict.Refuse(verdict.ReasonLimit, after, "%s is at its limit", a.Name)
	}
	return nil
}

// checkFits refuses requests that no engine and no span of engines can hold.
func (s *Scheduler) checkFits(r *request.Request, pool *routing.Pool) *verdict.Error {
	if r.Kind != request.Prompt || r.Tokens() <= pool.Largest() {
		return nil
	}
	if spans, known := s.spans[r.Target]; known && !spans {
		return verdict.Refuse(verdict.ReasonTooLong, 0, "%d tokens are more than one engine of %s holds", r.Tokens(), r.Target)
	}
	if r.Tokens() > pool.SpanLimit() {
		return verdict.Refuse(verdict.ReasonTooLong, 0, "%d tokens are more than all engines of %s hold", r.Tokens(), r.Target)
	}
	return nil
}

// accept registers an admitted request and charges its account.
func (s *Scheduler) accept(now time.Time, j *job) {
	s.jobs[j.request.ID] = j
	s.deadlines.push(j)
	a := j.account
	a.Charge(now, j.tokens())
	a.InFlight++
	a.InFlightTokens += j.request.PromptTokens
}

// enqueue inserts the job into its lane, ordered by arrival.
func (s *Scheduler) enqueue(j *job) {
	j.phase = waiting
	j.ticket.Request = j.request
	j.ticket.Account = j.account
	j.ticket.Order = admission.Order(j.request)
	j.ticket.Value = j
	j.class.waiting++
	j.lane.queue.Push(&j.ticket)
}

func (s *Scheduler) dequeue(j *job) {
	j.class.waiting--
	j.lane.queue.Remove(&j.ticket)
}

// checkQueued refuses a new request that could not be sent at once and exceeds
// the queue limit of its class.
func (s *Scheduler) checkQueued(now time.Time, j *job) {
	if j.phase != waiting || j.request == nil {
		return
	}
	limit := j.class.limit(s.config.DefaultQueueLimit)
	if j.class.waiting <= limit {
		return
	}
	after := s.queueWait(now, j)
	s.fail(j, verdict.Refuse(verdict.ReasonQueueFull, max(s.config.Step, after), "%d requests of class %s wait", limit, j.class.name))
}

func (s *Scheduler) newJob(r *request.Request, a *admission.Account) *job {
	var j *job
	if last := len(s.freeJobs) - 1; last >= 0 {
		j = s.freeJobs[last]
		s.freeJobs = s.freeJobs[:last]
	} else {
		j = &job{}
	}
	j.request = r
	j.account = a
	j.class = s.class(r.Class)
	return j
}

func (s *Scheduler) release(j *job) {
	span := j.span[:0]
	*j = job{span: span, phase: finished}
	s.freeJobs = append(s.freeJobs, j)
}
