package forward

import "celeryport/verdict"

var errStopping = verdict.Refuse(verdict.ReasonDraining, drainingRetry, "this instance stops and can't finish the call any more")

// stopRefusal returns the refusal of a call that is not sent, or is interrupted, because this instance stops. Another
// instance may send a call that it has handed over elsewhere.
func (x *exchange) stopRefusal() error {
	switch {
	case x.transit != nil && x.mayHaveRun():
		return verdict.Wrap(errDeclined, verdict.MayHaveRun, verdict.ReasonDraining, "this instance stops")
	case x.transit != nil:
		return decline(verdict.ReasonDraining, "this instance stops")
	case x.mayHaveRun():
		return verdict.New(verdict.MayHaveRun, verdict.ReasonDraining, "this instance stops, and the call may have run")
	default:
		return errStopping
	}
}
