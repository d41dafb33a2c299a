package dispatch

import (
	"time"

	"celeryport/request"
	"celeryport/routing"
	"celeryport/verdict"
)

// serviceTime predicts the time from the send of the request to the end of its
// answer, on an upstream with the average load of the pool.
func (s *Scheduler) serviceTime(now time.Time, j *job, pool *routing.Pool) time.Duration {
	r := j.request
	if r.Kind == request.ServiceCall {
		return s.config.Network
	}
	rate, decode := pool.NodeRate(), pool.DecodeRate()
	if r.Long {
		rate *= pool.LaneFree()
		decode = min(decode, pool.BusyDecodeRate())
	}
	seconds := float64(r.PromptTokens)/rate + float64(r.OutputTokens)/decode
	return 2*s.config.Network + j.lane.lateness.expected(now) + time.Duration(seconds*float64(time.Second))
}

// queueWait predicts the queueing time of a request of this account and lane.
// Under fair sharing an organisation waits for its own backlog at its own share
// of the capacity or, if that is shorter, for the total backlog at the full
// capacity.
func (s *Scheduler) queueWait(now time.Time, j *job) time.Duration {
	lane := j.lane
	if lane.kind == shortLane {
		return s.shortQueueWait(now, lane)
	}
	pool := s.table.Pool(lane.target)
	if pool == nil || pool.Rate() == 0 {
		return announceInterval
	}
	rate := pool.Rate() * max(minLongCapacity, 1-s.lanesOf(lane.target).load.Small-s.lanesOf(lane.target).load.Middle)
	all, weight := 0.0, 0.0
	for _, a := range s.ordered {
		waiting := float64(a.FleetWaitingTokens(now))
		if waiting > 0 || a == j.account {
			all += waiting
			weight += a.Weight
		}
	}
	own := float64(j.account.FleetWaitingTokens(now)) * weight / max(j.account.Weight, 1e-6)
	return time.Duration(min(all, own) / rate * float64(time.Second))
}

// shortQueueWait returns the time needed to send the queued tokens of the lane at
// its recent send rate.
func (s *Scheduler) shortQueueWait(now time.Time, lane *laneQueue) time.Duration {
	if lane.queue.Len() == 0 {
		return 0
	}
	rate := max(lane.sendRate.PerSecond(now), 1)
	return time.Duration(float64(lane.queue.Tokens()) / rate * float64(time.Second))
}

// minLongCapacity is the minimum fraction of the capacity assumed to be
// available to long requests.
const minLongCapacity = 0.1

// checkDeadline refuses a request that is predicted to miss its deadline.
func (s *Scheduler) checkDeadline(now time.Time, j *job, pool *routing.Pool) *verdict.Error {
	r := j.request
	queueWait := s.queueWait(now, j)
	need := queueWait + s.serviceTime(now, j, pool) + s.config.Margin
	remaining := r.Remaining(now)
	if need <= remaining {
		return nil
	}
	after := min(queueWait, need-remaining)
	return verdict.Refuse(verdict.ReasonDeadline, after, "needs %v, has %v", need.Round(time.Millisecond), remaining.Round(time.Millisecond))
}
