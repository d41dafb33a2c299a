package dispatch

import (
	"time"

	"celeryport/request"
	"celeryport/verdict"
)

// Tick implements Dispatcher.
func (s *Scheduler) Tick(now time.Time) {
	s.begin()
	s.expire(now)
	s.requeueDelayed(now)
	if now.Sub(s.lastStep) >= s.config.Step {
		s.lastStep = now
		s.refuseUnservable(now)
		s.countOverdueSpans(now)
		s.readmit(now)
	}
	s.pump(now)
}

// expire ends every request whose deadline has passed.
func (s *Scheduler) expire(now time.Time) {
	for j := s.deadlines.due(now); j != nil; j = s.deadlines.due(now) {
		err := verdict.Refuse(verdict.ReasonDeadline, s.config.Step, "the deadline passed in the queue")
		if j.phase == running {
			s.recordServiceTimeout(now, j)
			s.cancel(j)
			s.endSends(now, j)
			j.mayHaveRun = true
		}
		if j.mayHaveRun {
			err = verdict.New(verdict.MayHaveRun, verdict.ReasonTimeout, "the deadline passed after it was sent")
		}
		s.fail(j, err)
	}
}

// recordServiceTimeout counts a passed deadline as a failure of a plain service.
// Engines send heartbeats, so the driver reports their silence much earlier; a
// long prompt that was not scheduled in time is not a fault of its engine.
func (s *Scheduler) recordServiceTimeout(now time.Time, j *job) {
	if j.request.Kind != request.ServiceCall {
		return
	}
	s.recordFailure(now, j, verdict.New(verdict.MayHaveRun, verdict.ReasonTimeout, "no answer before the deadline"))
}

// refuseUnservable refuses requests that wait, in a queue or in backoff, and
// can no longer be answered before their deadline.
func (s *Scheduler) refuseUnservable(now time.Time) {
	for _, l := range s.targets {
		for _, lane := range l.byKind {
			s.refuseUnservableQueued(now, lane)
		}
	}
	s.refuseUnservableDelayed(now)
}

func (s *Scheduler) refuseUnservableQueued(now time.Time, lane *laneQueue) {
	if lane.queue.Len() == 0 {
		return
	}
	s.tickets = lane.queue.All(s.tickets[:0])
	for _, t := range s.tickets {
		s.refuseIfUnservable(now, t.Value.(*job))
	}
}

func (s *Scheduler) refuseUnservableDelayed(now time.Time) {
	for i := len(s.backoffs) - 1; i >= 0; i-- {
		s.refuseIfUnservable(now, s.backoffs[i])
	}
}

func (s *Scheduler) refuseIfUnservable(now time.Time, j *job) {
	if !s.unservable(now, j) {
		return
	}
	after := max(s.config.Step, s.queueWait(now, j))
	err := verdict.Refuse(verdict.ReasonDeadline, after, "can't be answered in time any more")
	s.fail(j, err)
}

// unservable reports whether the request would miss its deadline even if it were
// sent now.
func (s *Scheduler) unservable(now time.Time, j *job) bool {
	need := s.config.Margin
	if pool := s.table.Pool(j.lane.target); pool != nil {
		need += s.serviceTime(now, j, pool)
	}
	return need > j.request.Remaining(now)
}

// readmit rebuilds the routing table when an ejected node is due for a probe.
func (s *Scheduler) readmit(now time.Time) {
	for _, l := range s.targets {
		pool := s.table.Pool(l.byKind[0].target)
		if pool == nil {
			continue
		}
		if next := pool.NextProbe(); !next.IsZero() && !now.Before(next) {
			s.table.Rebuild(now)
			return
		}
	}
}

// NextTick implements Dispatcher.
func (s *Scheduler) NextTick(now time.Time) time.Time {
	next := now.Add(time.Second)
	if s.anyWaiting() {
		next = now.Add(s.config.Step)
	}
	if j := s.deadlines.first(); j != nil {
		next = earlier(next, j.request.Deadline)
	}
	for _, j := range s.backoffs {
		next = earlier(next, j.resumesAt)
	}
	return next
}

func (s *Scheduler) anyWaiting() bool {
	for _, l := range s.targets {
		for _, lane := range l.byKind {
			if lane.queue.Len() > 0 {
				return true
			}
		}
	}
	return false
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
