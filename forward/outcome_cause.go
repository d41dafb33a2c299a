package forward

import (
	"syscall"

	"github.com/cockroachdb/errors"

	"celeryport/resend"
)

// cause classifies a failed send for the decision whether to send the call again.
func (o *outcome) cause() resend.Cause {
	switch {
	case errors.Is(o.err, errWrongIncarnation):
		return resend.Misdirected
	case o.pathLost:
		return resend.PathLost
	case o.reached && o.otherAtFault:
		return resend.HelperAtFault
	case o.reached:
		return resend.Counted
	case errors.IsAny(o.err, errLeaving, errResting, errEvacuated):
		return resend.Withdrawn
	case !o.otherAtFault && errors.Is(o.err, syscall.ECONNREFUSED):
		return resend.Ended
	default:
		return resend.Unreachable
	}
}
