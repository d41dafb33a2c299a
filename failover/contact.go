package failover

import "time"

// Contact is what is known of an upstream that sends nothing.
type Contact uint8

const (
	// Reachable means that the upstream accepts connections, or that nothing is known against it.
	Reachable Contact = iota
	// Overdue means that it accepts connections, but has not begun its answer in time.
	Overdue
	// Unreachable means that it has accepted no connection lately.
	Unreachable
	// PathsLost means that this instance has lost its paths to all upstreams of the service.
	PathsLost
	// Ended means that its process is known to have ended.
	Ended
)

// String returns the name used in logs and metrics.
func (c Contact) String() string {
	switch c {
	case Reachable:
		return "reachable"
	case Overdue:
		return "overdue"
	case Unreachable:
		return "unreachable"
	case PathsLost:
		return "paths-lost"
	default:
		return "ended"
	}
}

// MaxSoundSilence is how long an upstream may send nothing and accept no connection and still go on
// with its answers, for instance while its machine is suspended.
const MaxSoundSilence = 1500 * time.Millisecond

// Reachability follows the attempts to connect to one upstream. The zero value knows nothing against
// it.
type Reachability struct {
	failedSince time.Time // first of the failures that follow each other closely, zero if none
	failedAt    time.Time // the last of them
	refused     bool      // it was refused
}

// Reached records a sign of life and reports whether attempts had failed before.
func (r *Reachability) Reached() bool {
	failed := !r.failedSince.IsZero()
	*r = Reachability{}
	return failed
}

// Failed records a failed attempt. refused means that its machine answered that nothing listens there.
func (r *Reachability) Failed(now time.Time, refused bool) {
	ended := r.failedAt.Sub(r.failedSince) >= MaxSoundSilence
	if now.Sub(r.failedAt) >= MaxSoundSilence && !ended {
		r.failedSince = now // it may have been reachable in between
	}
	r.failedAt, r.refused = now, refused
}

// SinceData returns what is known if the upstream sent data at a time on a connection that was open before.
func (r Reachability) SinceData(at time.Time) Reachability {
	if !r.failedSince.IsZero() {
		r.failedSince = later(r.failedSince, at)
	}
	return r
}

// Refused reports whether the last attempt was refused: a process that has ended may be restarted soon.
func (r *Reachability) Refused() bool { return r.refused }

// Recent reports whether an attempt has failed lately.
func (r *Reachability) Recent(now time.Time) bool { return now.Sub(r.failedAt) < MaxSoundSilence }

// Contact returns what the attempts show. leaving means that the upstream is about to leave: it may have
// closed its listener and still finish its answers.
func (r *Reachability) Contact(now time.Time, leaving bool) Contact {
	switch {
	case r.failedSince.IsZero() || r.refused && leaving:
		return Reachable
	case r.refused || now.Sub(r.failedSince) >= MaxSoundSilence:
		return Ended
	default:
		return Unreachable
	}
}

// OnLostPaths returns what is known of an upstream while this instance has lost its paths to all of the
// service. Its own attempts then show nothing unless the other instances confirm them: they
// reach none of the upstreams, or not this one.
func (c Contact) OnLostPaths(confirmed bool) Contact {
	if c == Ended && confirmed {
		return Ended
	}
	return PathsLost
}

// Respond returns what to do with a send whose upstream was checked because of its silence:
//   - a call whose upstream has ended is given up,
//   - one that another upstream, or another instance, may answer goes there,
//   - one that may reach no other upstream may return to one that it has left,
//   - any other one stays, because its answer may still arrive.
//
// While the paths are lost, the silence of the upstreams may be that of their machines. An instance that
// reaches them better is asked only when they should have gone on.
func (s *Send) Respond(now time.Time, c Contact) Decision {
	switch {
	case c == Ended:
		return Decision{Action: End}
	case c == Reachable || !s.Repeatable || !s.Budget:
		return Decision{}
	case c == PathsLost && s.MayHandOver(now):
		return Decision{Action: HandOver}
	case c == PathsLost:
		return Decision{}
	case s.SendsLeft > 0:
		return Decision{Action: Move, Cause: causeOf(c)}
	case s.MayReturn && s.EventAt.IsZero() && s.Rescues(now, causeOf(c), s.Model.MinResumeTime()):
		return Decision{Action: Return, Cause: causeOf(c)}
	default:
		return Decision{}
	}
}

// MayHandOver reports whether another instance may handle the call if this one has lost its paths.
func (s *Send) MayHandOver(now time.Time) bool {
	return s.Repeatable && now.Sub(s.QuietSince()) >= MaxSoundSilence
}

func causeOf(c Contact) Cause {
	if c == Overdue {
		return CauseOverdue
	}
	return CauseUnreachable
}

// QuietSince returns when the upstream last sent something of this answer, or got the call.
func (s *Send) QuietSince() time.Time { return later(s.Began, later(s.EventAt, s.DataAt)) }

// Rescues reports whether an upstream that would send its first event after the given time is better
// than the present one, which has been silent. The patience is that of usual callers: one that has waited for
// longer may wait until the deadline.
func (s *Send) Rescues(now time.Time, cause Cause, first time.Duration) bool {
	waits := s.Patience <= 0 || !now.Before(s.callerLeaves())
	if waits && (cause == CauseOverdue || cause == CauseUnreachable) {
		return now.Add(first).Before(s.Deadline)
	}
	return s.InTime(now, first)
}
