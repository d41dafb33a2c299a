package forward

import (
	"context"
	"time"
)

// DrainPlan sets the time limits of a drain.
type DrainPlan struct {
	MinDuration time.Duration // minimum duration: callers may still use a list of addresses that they just received
	IdleTime    time.Duration // the drain ends when no call has arrived or ended for this time
	Limit       time.Duration // the drain ends after this time at the latest; calls that would take longer are refused
}

// finished reports whether a drain that began at the given time may end. lastCall is when a call
// arrived or ended last: the caller that was just answered may already send its next call.
func (p *DrainPlan) finished(now, began, lastCall time.Time, inFlight int64) bool {
	return inFlight == 0 && now.Sub(lastCall) > p.IdleTime && now.Sub(began) > p.MinDuration
}

// drainState is a drain in progress.
type drainState struct {
	began time.Time
	plan  DrainPlan
}

// Drain ends the service without interrupting any call: new calls are still served, and their
// connections closed after the answer, until no call has arrived or ended for a while and none is
// being read or in flight, or until the limit or the end of ctx. Calls that could not be finished by the limit are
// refused, so that their callers switch to another instance at once.
func (s *Server) Drain(ctx context.Context, plan DrainPlan) {
	began := time.Now()
	s.draining.Store(&drainState{began: began, plan: plan})
	ctx, cancel := context.WithTimeout(ctx, plan.Limit)
	defer cancel()
	ticker := time.NewTicker(drainTick)
	defer ticker.Stop()
	for {
		inFlight := s.inFlight.Load() // before lastCall, which a call sets before it no longer counts
		if plan.finished(time.Now(), began, time.Unix(0, s.lastCall.Load()), inFlight) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// beginCall counts a call that has begun to arrive, and returns the time.
func (s *Server) beginCall() time.Time {
	now := time.Now()
	s.lastCall.Store(now.UnixNano())
	s.inFlight.Add(1)
	return now
}

// endCall counts a call that has ended.
func (s *Server) endCall() {
	s.lastCall.Store(time.Now().UnixNano())
	s.inFlight.Add(-1)
}

func (s *Server) isDraining() bool { return s.draining.Load() != nil }

// drainTick is how often a draining server checks whether it may end.
const drainTick = 50 * time.Millisecond
