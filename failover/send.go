package failover

import "time"

// Send is the state of one send that awaits its next event.
type Send struct {
	Model     Model
	Began     time.Time     // when the send began
	EventAt   time.Time     // when the last event of this send arrived; zero: none yet
	CallerAt  time.Time     // when the caller sent the call or received its last event
	DataAt    time.Time     // when the read that waits for data began: what was sent before has arrived
	AliveAt   time.Time     // when the upstream last sent data or was found reachable
	Recheck   time.Time     // when to check again after a check that did not find it reachable; zero: found reachable
	Deadline  time.Time     // of the call
	Silence   time.Duration // time without data after which to check reachability; 0: never
	Predicted time.Duration // predicted time from Began to the first event
	Prefill   time.Duration // time until the engine has prefilled all prompts known to it; 0: none or unknown

	Patience   time.Duration // gap between two events after which the caller disconnects; 0: unknown
	PauseLimit time.Duration // gap after which the answer counts as late
	Repeatable bool          // the route allows another send at this point of the answer
	SendsLeft  int           // how many more sends the route allows
	Budget     bool          // the repeat budget allows another send
	Moved      bool          // already moved since the caller's last event
	MayReturn  bool          // it has left an engine, and has not returned to one yet
	NotBefore  time.Time     // earliest time of the next attempt after a move that found no engine
	Draw       float64       // uniform in [0, 1), constant during one gap; spreads the moves of an engine's streams
}

const (
	// marginFraction is the fraction of the patience kept for the path to the caller and for
	// delays of this instance: 0.1 s of 2 s.
	marginFraction = 0.05
	// spreadFraction is the fraction of the patience over which the moves of an engine's streams
	// are spread: 0.2 s of 2 s. Instances learn of each other's sends within some tens of
	// milliseconds, so that later moves avoid the engines that the first ones chose. A wider
	// spread would begin before the end of the stall of 1.5 s after a helper has terminated.
	spreadFraction = 0.1
	// lateSpreadFraction replaces it when the engine's own event was due at the end of the
	// interval.
	lateSpreadFraction = 0.025
	// minStayPasses is how many passes a new send gets before it may be moved. A call that has
	// waited long for its place would otherwise leave it at once.
	minStayPasses = 2
	// duePasses is how many passes after an event the next one is due at an engine without
	// prefill: the engine sends the events of a pass at its end, and short prompts prolong one.
	duePasses = 2
)

// Decide returns the action at the current time.
func (s *Send) Decide(now time.Time) Decision {
	at, movable := s.moveAt(now)
	if movable && !now.Before(at) {
		return Decision{Action: Move, Cause: s.cause()}
	}
	var until time.Time
	if s.Silence > 0 {
		until = s.AliveAt.Add(s.Silence)
		if !s.Recheck.IsZero() {
			until = s.Recheck
		}
		if !now.Before(until) {
			return Decision{Action: Check}
		}
	}
	if movable && (until.IsZero() || at.Before(until)) {
		until = at
	}
	return Decision{Until: until}
}

// InTime reports whether an event that arrives from another engine after the given time still
// reaches the caller before it disconnects.
func (s *Send) InTime(now time.Time, first time.Duration) bool {
	return now.Add(first + s.margin()/2).Before(s.callerLeaves())
}

func (s *Send) mayMove() bool {
	return s.Patience > 0 && s.Repeatable && s.SendsLeft > 0 && s.Budget && !s.Moved
}

// moveAt returns when the call moves unless an event arrives; false if it stays.
//
// A move that is late enough to rescue the caller does not make the answer later than it is: the
// pause limit is exceeded long before. So the call moves as late as the other engine allows, and
// a pass that ends in time saves the repeat. The engine's own event is awaited even beyond that
// time if it is known to come before the caller leaves.
func (s *Send) moveAt(now time.Time) (time.Time, bool) {
	if !s.mayMove() {
		return time.Time{}, false
	}
	leaves := s.callerLeaves()
	latest := leaves.Add(-s.margin() - s.Model.ResumeTime())
	start := later(latest.Add(-s.fraction(spreadFraction)), s.CallerAt.Add(s.PauseLimit))
	start = later(start, s.Began.Add(minStayPasses*s.Model.Pass()))
	if due := s.dueAt(now); !due.After(leaves.Add(-2 * s.margin())) {
		start = later(start, due)
	}
	spread := max(latest.Sub(start), s.fraction(lateSpreadFraction))
	at := later(start.Add(time.Duration(s.Draw*float64(spread))), s.NotBefore)
	return at, s.InTime(later(at, now), s.Model.MinResumeTime())
}

// dueAt returns by when the next event of the present engine is expected.
func (s *Send) dueAt(now time.Time) time.Time {
	due := s.EventAt.Add(duePasses * s.Model.Pass())
	if s.EventAt.IsZero() {
		due = s.Began.Add(s.Predicted)
	}
	if s.Prefill <= 0 {
		return due
	}
	passEnd := due.Add(s.Model.LongestPrefill())
	if prefillEnd := now.Add(s.Prefill + s.Model.Pass()); prefillEnd.Before(passEnd) {
		passEnd = prefillEnd
	}
	return later(due, passEnd)
}

// callerLeaves returns when the caller disconnects.
func (s *Send) callerLeaves() time.Time { return s.CallerAt.Add(s.Patience) }

func (s *Send) margin() time.Duration { return s.fraction(marginFraction) }

func (s *Send) fraction(part float64) time.Duration {
	return time.Duration(part * float64(s.Patience))
}

func (s *Send) cause() Cause {
	switch {
	case s.EventAt.IsZero():
		return CauseUnanswered
	case s.Prefill > 0:
		return CausePrefill
	default:
		return CauseSilent
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
