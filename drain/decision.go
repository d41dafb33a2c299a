package drain

import "time"

// Basis is what the time that a call needs is derived from.
type Basis string

// The bases.
const (
	Recent   Basis = "recent"   // recent calls to the same service on the same route
	Deadline Basis = "deadline" // its deadline, at which it is answered in any case
)

const (
	// marginFraction is the part of its expected duration that a call may take beyond it.
	marginFraction = 0.1
	// marginTime is added for reading and writing.
	marginTime = 50 * time.Millisecond
)

// Call is what is known of a call that is about to be taken or sent.
type Call struct {
	Predicted time.Duration // of the whole answer; 0: no prediction
	Recent    Maxima        // of recent calls
	Known     bool          // whether there were recent calls
	Answered  time.Duration // time for which its answer has been written by earlier sends
	Left      time.Duration // until its deadline
}

// Decision is whether a call can be finished before the instance stops, and why.
type Decision struct {
	At     time.Duration // since the begin of the drain
	Needed time.Duration // expected duration of the call from now
	Basis  Basis         // of Needed
	Left   time.Duration // until the end of the drain
}

// Fits reports whether the call can be finished.
func (d Decision) Fits() bool { return d.Needed <= d.Left }

// Decide decides on a call, at a time since the begin of a drain that takes limit at most.
func Decide(c Call, since, limit time.Duration) Decision {
	needed, basis := need(c)
	return Decision{At: since, Needed: needed, Basis: basis, Left: limit - since}
}

// need returns how long the call is expected to take from now.
func need(c Call) (time.Duration, Basis) {
	deadline := max(0, c.Left) + marginTime
	if !c.Known {
		return deadline, Deadline
	}
	expected := max(0, c.Recent.expect(c.Predicted)-c.Answered)
	expected += time.Duration(marginFraction*float64(expected)) + marginTime
	if expected >= deadline {
		return deadline, Deadline
	}
	return expected, Recent
}
