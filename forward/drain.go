package forward

import (
	"context"
	"time"
)

// DrainPlan sets the time limits of a drain.
type DrainPlan struct {
	MinDuration time.Duration // minimum duration: callers may still use a list of addresses that they just received
	IdleTime    time.Duration // the drain ends when no call has arrived or ended for this time
	Streams     time.Duration // streams are accepted for this time
	Calls       time.Duration // other calls are accepted for this time
	Limit       time.Duration // the drain ends after this time at the latest
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
// being read or in flight, or until ctx ends. Calls that could not be finished in time are refused, so that their
// callers switch to another instance at once.
func (s *Server) Drain(ctx context.Context, plan DrainPlan) {
	began := time.Now()
	s.draining.Store(&drainState{began: began, plan: plan})
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

// accepts reports whether a call that begins now can still be finished.
func (s *Server) accepts(now time.Time, stream bool) bool {
	d := s.draining.Load()
	if d == nil {
		return true
	}
	limit := d.plan.Calls
	if stream {
		limit = d.plan.Streams
	}
	return now.Sub(d.began) < limit
}

// drainTick is how often a draining server checks whether it may end.
const drainTick = 50 * time.Millisecond
