package dispatch

import (
	"time"

	"celeryport/failover"
	"celeryport/verdict"
)

// FirstToken implements Dispatcher.
func (s *Scheduler) FirstToken(now time.Time, id string) {
	s.begin()
	j := s.jobs[id]
	if j == nil || j.phase != running {
		return
	}
	send := j.lead()
	if node := send.Node(); node != nil {
		node.FirstToken(send)
		node.Health.FirstToken(now, now.Sub(j.sentAt), j.predicted)
		j.lane.lateness.observe(now.Sub(j.sentAt) - j.predicted)
	}
	j.settleLateness(now)
	s.pumpTarget(now, j.lane.target)
}

// Finish implements Dispatcher.
func (s *Scheduler) Finish(now time.Time, id string, outcome Outcome) {
	s.begin()
	j := s.jobs[id]
	if j == nil || j.phase != running {
		return
	}
	target := j.lane.target
	if outcome.Err == nil {
		s.handleSuccess(now, j, &outcome)
	} else {
		s.handleFailure(now, j, &outcome)
	}
	s.pumpTarget(now, target)
}

func (s *Scheduler) pumpTarget(now time.Time, target string) {
	for _, lane := range s.lanesOf(target).byKind {
		s.pumpLane(now, lane)
	}
}

func (s *Scheduler) handleSuccess(now time.Time, j *job, outcome *Outcome) {
	s.recordAnswer(now, j, outcome.Failed)
	if !outcome.Failed {
		j.account.Budget.Success()
	}
	unused := j.request.OutputTokens - outcome.AnswerTokens + outcome.CachedTokens
	j.account.Usage.Add(now, -float64(max(0, unused)))
	s.endSends(now, j)
	s.deleteJob(j)
}

// handleFailure retries the request if a retry is safe and within the retry
// budget, and refuses it otherwise.
func (s *Scheduler) handleFailure(now time.Time, j *job, outcome *Outcome) {
	s.recordFailure(now, j, outcome.Err)
	recordContact(now, j, outcome)
	spread := len(j.span) > 0
	if spread && outcome.Err.Verdict == verdict.NotRun {
		markSpanDenied(j)
	}
	s.endSends(now, j)
	if outcome.Err.Verdict == verdict.NotRun {
		j.account.Usage.Add(now, -j.charged)
	} else {
		j.mayHaveRun = true
	}
	err := s.checkRetry(now, j, outcome, spread)
	if err != nil {
		s.fail(j, err)
		return
	}
	s.scheduleRetry(now, j)
}

// recordContact records on the node that computes the answer that it took no connection.
func recordContact(now time.Time, j *job, outcome *Outcome) {
	if len(j.span) == 0 && (outcome.Contact == failover.Unreachable || outcome.Contact == failover.Ended) {
		j.lead().Node().Health.NoConnection(now, outcome.Contact == failover.Ended)
	}
}

// markSpanDenied records on every node of the span that a reservation was denied;
// which node denied it is not known.
func markSpanDenied(j *job) {
	for _, send := range j.span {
		send.Node().MarkDenied()
	}
}

func (s *Scheduler) endSends(now time.Time, j *job) {
	j.settleLateness(now)
	if j.probe {
		s.table.Pool(j.lane.target).EndProbe(j.send.Node())
	}
	if j.send.Node() != nil {
		j.send.Node().End(&j.send)
	}
	for _, send := range j.span {
		send.Node().End(send)
	}
	j.span = j.span[:0]
	j.probe = false
}

// fail ends a job with a refusal.
func (s *Scheduler) fail(j *job, err *verdict.Error) {
	r := j.request
	if j.phase == waiting {
		s.dequeue(j)
	}
	overall := *err // the error may be that of a single send
	overall.Verdict = j.overallVerdict(err.Verdict)
	s.deleteJob(j)
	s.refuse(r, &overall)
}

// deleteJob removes a job that is in no queue and has no sends.
func (s *Scheduler) deleteJob(j *job) {
	a := j.account
	a.InFlight--
	a.InFlightTokens -= j.request.PromptTokens
	s.deadlines.remove(j)
	s.removeBackoff(j)
	delete(s.jobs, j.request.ID)
	s.release(j)
}

// Withdraw implements Dispatcher.
func (s *Scheduler) Withdraw(now time.Time, id string) {
	s.begin()
	j := s.jobs[id]
	if j == nil {
		return
	}
	switch j.phase {
	case running:
		s.cancel(j)
		s.endSends(now, j)
	case waiting:
		s.dequeue(j)
	default:
	}
	target := j.lane.target
	s.deleteJob(j)
	s.pumpTarget(now, target)
}

func (s *Scheduler) cancel(j *job) {
	s.actions = append(s.actions, Action{Kind: Cancel, Request: j.request, Attempt: j.request.Attempt, Placement: j.placement})
}
