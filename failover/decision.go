package failover

import "time"

// Action is what to do with a silent send.
type Action uint8

const (
	// Wait means to keep reading.
	Wait Action = iota
	// Check means to test whether the engine still accepts connections.
	Check
	// Move means to send the call to another engine, if one can answer in time.
	Move
	// HandOver means to let another instance handle the call, if one reaches the upstreams.
	HandOver
	// Return means to send the call to an engine again that it has left, if that one goes on and the present one does not.
	Return
	// End means to give the send up.
	End
)

// Decision is the action to take now.
type Decision struct {
	Action Action
	Until  time.Time // of Wait: when to decide again; zero: not before the next data
	Cause  Cause     // of Move and Return
}

// Cause is the likely reason of the silence that leads to a move.
type Cause uint8

const (
	// CauseUnanswered means that the send has not received its first event.
	CauseUnanswered Cause = iota
	// CausePrefill means that the engine is known to prefill prompts.
	CausePrefill
	// CauseSilent means that nothing known explains the silence.
	CauseSilent
	// CauseOverdue means that the upstream accepts connections, but has not begun its answer in time.
	CauseOverdue
	// CauseUnreachable means that the upstream accepts no connection.
	CauseUnreachable
)

// CallerLeaves reports whether the call moves because its caller would leave otherwise.
func (c Cause) CallerLeaves() bool {
	return c == CauseUnanswered || c == CausePrefill || c == CauseSilent
}

// String returns the name used in logs and metrics.
func (c Cause) String() string {
	switch c {
	case CauseUnanswered:
		return "unanswered"
	case CausePrefill:
		return "prefill"
	case CauseOverdue:
		return "overdue"
	case CauseUnreachable:
		return "unreachable"
	default:
		return "silent"
	}
}
