package dispatch

import (
	"time"

	"celeryport/request"
	"celeryport/routing"
	"celeryport/verdict"
)

// service predicts the time of the request from the send to the end of the
// answer, on an upstream that has as much else to do as they all have.
func (s *Scheduler) service(j *job, pool *routing.Pool) time.Duration {
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
	return 2*s.config.Network + j.lane.late + time.Duration(seconds*float64(time.Second))
}

// wait predicts how long a request of this account and lane waits in the queue.
// Under fair sharing an organisation waits for its own backlog at its own share
// of the capacity, or, if that is shorter, for everybody's backlog at all of it.
func (s *Scheduler) wait(now time.Time, j *job) time.Duration {
	lane := j.lane
	if lane.kind == shortLane {
		return s.shortWait(now, lane)
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

// shortWait is the time in which as much as waits here was sent lately.
func (s *Scheduler) shortWait(now time.Time, lane *laneQueue) time.Duration {
	if lane.queue.Len() == 0 {
		return 0
	}
	rate := max(lane.sent.PerSecond(now), 1)
	return time.Duration(float64(lane.queue.Tokens()) / rate * float64(time.Second))
}

// minLongCapacity is the part of the capacity that long requests get at least.
const minLongCapacity = 0.1

// inTime refuses at once what can't be answered by its deadline.
func (s *Scheduler) inTime(now time.Time, j *job, pool *routing.Pool) *verdict.Error {
	r := j.request
	wait := s.wait(now, j)
	need := wait + s.service(j, pool) + s.config.Margin
	remaining := r.Remaining(now)
	if need <= remaining {
		return nil
	}
	after := min(wait, need-remaining)
	return verdict.Refuse(verdict.ReasonDeadline, after, "needs %v, has %v", need.Round(time.Millisecond), remaining.Round(time.Millisecond))
}
