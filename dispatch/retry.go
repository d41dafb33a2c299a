package dispatch

import (
	"time"

	"celeryport/failover"
	"celeryport/verdict"
)

// checkRetry returns nil if the request may be sent again, and otherwise the
// error to return to the caller. Resending a request that may have run could
// duplicate its effect, and resending without a budget multiplies the load of a
// failing fleet.
func (s *Scheduler) checkRetry(now time.Time, j *job, outcome *Outcome, spread bool) *verdict.Error {
	err := outcome.Err
	if !safeToRetry(j, outcome) {
		return err
	}
	if s.unservable(now, j) {
		return err
	}
	// A span whose reservation was denied did not consume any capacity.
	if spread && err.Verdict == verdict.NotRun {
		return nil
	}
	// Neither did a send that got no connection in time. Its upstream may only be silent, and then answers
	// the next send.
	if outcome.Contact == failover.Unreachable && j.avoid.Health.Contact(now) == failover.Unreachable {
		return nil
	}
	// Nor does one that leaves an ended upstream that gets no further requests: there are no more such sends
	// than calls were under way there.
	if outcome.Contact == failover.Ended && err.Verdict == verdict.NotRun && s.excluded(j) {
		return nil
	}
	// Nor did one that found no free worker. It waits for one like a request that found no room.
	if err.Reason == verdict.ReasonQueueFull && err.Verdict == verdict.NotRun {
		return s.checkDelayed(now, j)
	}
	if !j.account.Budget.Spend() {
		return budgetExhausted(err)
	}
	return nil
}

// excluded reports whether the upstream of the job's last send gets no further requests.
func (s *Scheduler) excluded(j *job) bool {
	pool := s.table.Pool(j.lane.target)
	return pool != nil && pool.Excludes(j.avoid)
}

// checkDelayed returns an error if the request may not wait beside those of its class that do.
func (s *Scheduler) checkDelayed(now time.Time, j *job) *verdict.Error {
	limit := j.class.limit(s.config.DefaultQueueLimit)
	if j.class.waiting+j.class.delayed < limit {
		return nil
	}
	after := max(s.config.Step, s.queueWait(now, j))
	return verdict.Refuse(verdict.ReasonQueueFull, after, "%d requests of class %s wait", limit, j.class.name)
}

// safeToRetry reports whether a second send is safe.
func safeToRetry(j *job, outcome *Outcome) bool {
	if outcome.Err.Verdict == verdict.NotRun {
		return true
	}
	if j.request.NoRepeat || outcome.Err.Reason == verdict.ReasonCallerLeft {
		return false
	}
	return !outcome.Delivered || outcome.Resumable
}

func budgetExhausted(err *verdict.Error) *verdict.Error {
	refusal := verdict.Wrap(err, err.Verdict, verdict.ReasonRetryBudget, "too many failures to try again")
	refusal.RetryAfter = time.Second
	return refusal
}

// scheduleRetry delays the next attempt of the job.
func (s *Scheduler) scheduleRetry(now time.Time, j *job) {
	limit := min(s.config.BackoffMax, s.config.BackoffBase<<min(j.attempts-1, 10))
	j.phase = delayed
	j.class.delayed++
	j.resumesAt = now.Add(limit/2 + time.Duration(s.random.Int64N(int64(limit/2)+1)))
	s.backoffs = append(s.backoffs, j)
}

func (s *Scheduler) removeBackoff(j *job) {
	if j.phase != delayed {
		return
	}
	for i, other := range s.backoffs {
		if other == j {
			j.class.delayed--
			s.backoffs = append(s.backoffs[:i], s.backoffs[i+1:]...)
			return
		}
	}
}

// requeueDelayed requeues the jobs whose backoff has ended at their original
// positions.
func (s *Scheduler) requeueDelayed(now time.Time) {
	kept := s.backoffs[:0]
	for _, j := range s.backoffs {
		if now.Before(j.resumesAt) {
			kept = append(kept, j)
			continue
		}
		j.class.delayed--
		s.enqueue(j)
	}
	clear(s.backoffs[len(kept):])
	s.backoffs = kept
}
