package losses

// Cause is why a call was not answered in time.
type Cause string

// The causes. The first one that matches applies.
const (
	None           Cause = ""                // answered in time
	Refused        Cause = "refused"         // rejected at the first attempt
	RefusedAgain   Cause = "refused again"   // rejected again after a retry
	NoUpstream     Cause = "no upstream"     // no upstream was available
	NoHelper       Cause = "no helper"       // engines rejected it because no helper engine was available
	UpstreamFault  Cause = "upstream failed" // its upstream failed and no other could take over, or the answer had a status of 300 or above
	Interrupted    Cause = "cut"             // the answer was interrupted
	CallerLeft     Cause = "caller left"     // the caller disconnected before the answer was complete
	FirstEventLate Cause = "first late"      // the first event came too late
	PauseTooLong   Cause = "pause too long"  // a pause between two events was too long
	RetryLate      Cause = "returned late"   // the first event of a retried call came too late
)

// Causes returns all causes in the order of the tables.
func Causes() []Cause {
	return []Cause{Refused, RefusedAgain, NoUpstream, NoHelper, UpstreamFault, Interrupted, CallerLeft, FirstEventLate, RetryLate, PauseTooLong}
}

// lostFraction returns the fraction of a call's value that is lost.
func (c Cause) lostFraction() float64 {
	switch c {
	case None:
		return 0
	case FirstEventLate, PauseTooLong, RetryLate:
		return lateLoss
	default:
		return 1
	}
}

// lateLoss is the fraction of its value that a late answer loses: operators count a late
// answer as a quarter of one in time.
const lateLoss = 0.75
