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
	s.resume(now)
	if now.Sub(s.lastStep) >= s.config.Step {
		s.lastStep = now
		s.dropHopeless(now)
		s.countOverdueSpans(now)
		s.readmit(now)
	}
	s.pump(now)
}

// expire gives every request whose deadline has passed its final answer.
func (s *Scheduler) expire(now time.Time) {
	for j := s.deadlines.due(now); j != nil; j = s.deadlines.due(now) {
		err := verdict.Refuse(verdict.ReasonDeadline, s.config.Step, "the deadline passed in the queue")
		if j.phase == running {
			s.blameForSilence(now, j)
			s.cancel(j)
			s.endSends(j)
			j.mayHaveRun = true
		}
		if j.mayHaveRun {
			err = verdict.New(verdict.MayHaveRun, verdict.ReasonTimeout, "the deadline passed after it was sent")
		}
		s.giveUp(now, j, err)
	}
}

// blameForSilence counts a deadline that passed against a plain service. Engines
// send heartbeats, and the driver reports their silence long before; a long
// prompt that did not get its turn in time is no fault of theirs.
func (s *Scheduler) blameForSilence(now time.Time, j *job) {
	if j.request.Kind != request.ServiceCall {
		return
	}
	s.blame(now, j, verdict.New(verdict.MayHaveRun, verdict.ReasonTimeout, "no answer before the deadline"))
}

// dropHopeless refuses requests that wait, in a queue or for their backoff, and
// can't be answered in time any more.
func (s *Scheduler) dropHopeless(now time.Time) {
	for _, l := range s.targets {
		for _, lane := range l.byKind {
			s.dropFrom(now, lane)
		}
	}
	s.dropDelayed(now)
}

func (s *Scheduler) dropFrom(now time.Time, lane *laneQueue) {
	if lane.queue.Len() == 0 {
		return
	}
	s.heads = lane.queue.All(s.heads[:0])
	for _, t := range s.heads {
		s.dropIfHopeless(now, t.Value.(*job))
	}
}

func (s *Scheduler) dropDelayed(now time.Time) {
	for i := len(s.backoffs) - 1; i >= 0; i-- {
		s.dropIfHopeless(now, s.backoffs[i])
	}
}

func (s *Scheduler) dropIfHopeless(now time.Time, j *job) {
	if !s.hopeless(now, j) {
		return
	}
	after := max(s.config.Step, s.wait(now, j))
	err := verdict.Refuse(verdict.ReasonDeadline, after, "can't be answered in time any more")
	err.Verdict = j.worst(err.Verdict)
	s.giveUp(now, j, err)
}

// hopeless says that the request can't be answered in time even if it is sent
// now.
func (s *Scheduler) hopeless(now time.Time, j *job) bool {
	need := s.config.Margin
	if pool := s.table.Pool(j.lane.target); pool != nil {
		need += s.service(j, pool)
	}
	return need > j.request.Remaining(now)
}

// readmit lets ejected nodes whose time is over take a probe.
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
