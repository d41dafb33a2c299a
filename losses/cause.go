package losses

// Cause is why a call was not answered in time.
type Cause string

// The causes. A call has the first that fits.
const (
	None          Cause = ""                // answered in time
	Refused       Cause = "refused"         // turned away at its first try
	RefusedAgain  Cause = "refused again"   // it had come back after a refusal
	NoUpstream    Cause = "no upstream"     // nothing was there to take it
	NoHelper      Cause = "no helper"       // engines rejected it for want of a helper
	UpstreamFault Cause = "upstream failed" // its upstream failed it, and no other could take over
	Cut           Cause = "cut"             // its answer broke off
	CallerLeft    Cause = "caller left"     // before the answer was whole
	FirstLate     Cause = "first late"      // the first event came too late
	PauseLong     Cause = "pause too long"  // between two events
	ReturnLate    Cause = "returned late"   // the first event of a call that had come back was too late
)

// Causes lists all causes in the order of the tables.
func Causes() []Cause {
	return []Cause{Refused, RefusedAgain, NoUpstream, NoHelper, UpstreamFault, Cut, CallerLeft, FirstLate, ReturnLate, PauseLong}
}

// share is the part of a call's value that is lost.
func (c Cause) share() float64 {
	switch c {
	case None:
		return 0
	case FirstLate, PauseLong, ReturnLate:
		return lateLoss
	default:
		return 1
	}
}

// lateLoss is the part of its value that a late answer loses: operators count one as
// a quarter of one in time.
const lateLoss = 0.75
