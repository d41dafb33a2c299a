// Package endcheck decides whether an answer that ended with its connection, with neither a length nor
// chunks, is complete. The kernel closes the connections of a crashed process like one that the process
// closes itself, so that only a reply of the same incarnation to a question that was asked after the end
// shows that the answer was not broken off. Another process may listen at the address by then.
//
// The package is pure: a driver asks the upstream and passes the observations on.
package endcheck

import "time"

// Observation is the result of asking an upstream which incarnation it is.
type Observation uint8

const (
	// Unclear means that something replied which does not show which incarnation it is, or that the
	// connection ended before the reply.
	Unclear Observation = iota
	// Same means that the incarnation that wrote the answer replied.
	Same
	// Replaced means that another incarnation, or an upstream of another service, replied.
	Replaced
	// Refused means that nothing listens at the address.
	Refused
	// Silent means that no connection was accepted, or that no reply came.
	Silent
	// Shortage means that this process or machine could open no connection.
	Shortage
	// Unsupported means that the upstream accepts connections, but can't be asked which incarnation it is.
	Unsupported
	// Expired means that the deadline of the call passed, or that its caller left, before the upstream replied.
	Expired
)

// ShowsUpstream reports whether an observation shows anything about the upstream.
func (o Observation) ShowsUpstream() bool { return o != Shortage && o != Unsupported && o != Expired }

// String returns the name used in logs and metrics.
func (o Observation) String() string {
	switch o {
	case Same:
		return "same"
	case Replaced:
		return "replaced"
	case Refused:
		return "refused"
	case Silent:
		return "silent"
	case Shortage:
		return "shortage"
	case Unsupported:
		return "unsupported"
	case Expired:
		return "expired"
	default:
		return "unclear"
	}
}

// Joint returns what observations of all upstreams that worked on an answer show together: Same if each is the same
// incarnation, otherwise the first other one, above all one that shows an end.
func Joint(observed []Observation) Observation {
	joint := Same
	for _, o := range observed {
		if o == Replaced || o == Refused {
			return o
		}
		if joint == Same {
			joint = o
		}
	}
	return joint
}

// Conclusion is what an observation means for the answer.
type Conclusion uint8

const (
	// Undecided means that the upstream has to be asked again.
	Undecided Conclusion = iota
	// Complete means that the answer is whole.
	Complete
	// BrokenOff means that the answer has to be treated as broken off.
	BrokenOff
)

// Check is the check of one answer.
type Check struct {
	EndedAt  time.Time     // when the answer ended
	Patience time.Duration // for which an upstream without a clear reply is asked again
	Deadline time.Time     // of the call
}

// Conclude returns what an observation means. An answer that can't be proved whole counts as broken off: its
// caller, or this instance, can ask again, but a part that looks whole can't be recognised any more.
func (c *Check) Conclude(now time.Time, o Observation) Conclusion {
	switch {
	case o == Same:
		return Complete
	case o == Replaced || o == Refused || o == Unsupported || o == Expired:
		return BrokenOff
	case now.Sub(c.EndedAt) >= c.Patience || !now.Before(c.Deadline):
		return BrokenOff
	default:
		return Undecided
	}
}
