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
)

// Decision is the action to take now.
type Decision struct {
	Action Action
	Until  time.Time // of Wait: when to decide again; zero: not before the next data
	Cause  Cause     // of Move
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
)

// String returns the name used in logs and metrics.
func (c Cause) String() string {
	switch c {
	case CauseUnanswered:
		return "unanswered"
	case CausePrefill:
		return "prefill"
	default:
		return "silent"
	}
}
