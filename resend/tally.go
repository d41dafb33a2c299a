package resend

import "time"

const (
	// maxRejections bounds the sends that are rejected because a helper refused its part, and those that are rejected
	// after the answer has begun. Each takes a round trip; the former name one engine that is not asked to help again.
	maxRejections = 6
	// maxMissed bounds the sends that met an ended or withdrawn upstream. Each takes a round trip;
	// a rack or an availability zone that loses its power may hold a third of a service.
	maxMissed = 24
	// maxUnreachable bounds the sends that could not connect; each may take a connect time-out.
	maxUnreachable = 4
	// maxPathLost bounds the sends that were lost with the paths of their senders: an instance and
	// those that handle its call may be cut off at the same moment.
	maxPathLost = 3
	// minTimeLeft is the time below which a call no longer looks for a running upstream: a round
	// trip between zones and the shortest calls of a plain service take about half of it.
	minTimeLeft = 50 * time.Millisecond
)

// Tally counts the failed sends of one call by cause. Its zero value is ready for use.
type Tally struct {
	counts [causes]int
}

// Record adds a failed send.
func (t *Tally) Record(c Cause) { t.counts[c]++ }

// Counted returns how many failed sends count against the sends of the route.
func (t *Tally) Counted() int { return t.counts[Counted] }

// Rejections returns how many sends were rejected because a helper refused its part.
func (t *Tally) Rejections() int { return t.counts[HelperAtFault] }

// Missed returns how many sends found no running upstream.
func (t *Tally) Missed() int { return t.counts[Misdirected] + t.counts[Ended] + t.counts[Unreachable] }

// Unreachable returns how many sends could not connect, or reserve memory, since the last silence that the call
// outlasted.
func (t *Tally) Unreachable() int { return t.counts[Unreachable] }

// MayMeetSilence reports whether the call may try one more upstream that may take no connection.
func (t *Tally) MayMeetSilence() bool { return t.counts[Unreachable] < maxUnreachable }

// ForgetUnreachable removes the sends that could not connect, because their upstream has gone on.
func (t *Tally) ForgetUnreachable() { t.counts[Unreachable] = 0 }

// Limits are the limits of one call.
type Limits struct {
	MaxSends int           // sends that running upstreams may receive
	Left     time.Duration // time until the deadline of the call
}

// Decision is whether a call is sent again.
type Decision struct {
	Repeat  bool
	Charged bool // the repeat counts against the repeat budget
}

// Decide returns whether a call may be sent again after a send that failed with the given cause,
// which has been recorded.
func (t *Tally) Decide(last Cause, l Limits) Decision {
	d := Decision{Charged: last.charged()}
	switch last {
	case Counted:
		d.Repeat = l.Left > 0 && t.Counted() < l.MaxSends
	case HelperAtFault:
		d.Repeat = l.Left > 0 && t.Rejections() < maxRejections
	case Rejected:
		d.Repeat = l.Left >= minTimeLeft && t.counts[Rejected] < maxRejections
	case Misdirected, Ended, Withdrawn:
		d.Repeat = l.Left >= minTimeLeft && t.counts[Misdirected]+t.counts[Ended]+t.counts[Withdrawn] < maxMissed
	case PathLost:
		d.Repeat = l.Left >= minTimeLeft && t.counts[PathLost] < maxPathLost
	case Unreachable:
		d.Repeat = l.Left >= minTimeLeft && t.counts[Unreachable] < maxUnreachable
	}
	return d
}
