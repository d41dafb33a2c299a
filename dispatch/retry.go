package dispatch

import (
	"time"

	"celeryport/verdict"
)

// mayRetry returns nil if the request may be sent again, else what to tell the
// caller. Sending again what may have run could double its effect, and sending
// again without a budget multiplies the load of a failing fleet.
func (s *Scheduler) mayRetry(now time.Time, j *job, outcome *Outcome, spread bool) *verdict.Error {
	err := outcome.Err
	if !repeatable(j, outcome) {
		return err
	}
	if s.hopeless(now, j) {
		return err
	}
	// A span that did not get its memory cost the fleet nothing.
	if spread && err.Verdict == verdict.NotRun {
		return nil
	}
	if !j.account.Budget.Spend() {
		return exhausted(j, err)
	}
	return nil
}

// repeatable says whether a second send can do no harm.
func repeatable(j *job, outcome *Outcome) bool {
	if outcome.Err.Verdict == verdict.NotRun {
		return true
	}
	if j.request.NoRepeat || outcome.Err.Reason == verdict.ReasonCallerLeft {
		return false
	}
	return !outcome.Delivered || outcome.Resumable
}

func exhausted(j *job, err *verdict.Error) *verdict.Error {
	refusal := verdict.Wrap(err, j.worst(err.Verdict), verdict.ReasonRetryBudget, "too many failures to try again")
	refusal.RetryAfter = time.Second
	return refusal
}

// backOff puts the job aside until its backoff is over.
func (s *Scheduler) backOff(now time.Time, j *job) {
	limit := min(s.config.BackoffMax, s.config.BackoffBase<<min(j.attempts-1, 10))
	j.phase = delayed
	j.resumesAt = now.Add(limit/2 + time.Duration(s.random.Int64N(int64(limit/2)+1)))
	s.backoffs = append(s.backoffs, j)
}

func (s *Scheduler) removeBackoff(j *job) {
	if j.phase != delayed {
		return
	}
	for i, other := range s.backoffs {
		if other == j {
			s.backoffs = append(s.backoffs[:i], s.backoffs[i+1:]...)
			return
		}
	}
}

// resume puts the jobs whose backoff is over back at their old places.
func (s *Scheduler) resume(now time.Time) {
	kept := s.backoffs[:0]
	for _, j := range s.backoffs {
		if now.Before(j.resumesAt) {
			kept = append(kept, j)
			continue
		}
		s.enqueue(j)
	}
	clear(s.backoffs[len(kept):])
	s.backoffs = kept
}
