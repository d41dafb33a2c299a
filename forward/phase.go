package forward

// phase is the progress of a send as visible on its connection.
type phase uint8

const (
	// phaseUnanswered means that no part of the answer has arrived; the call may be queued or
	// running.
	phaseUnanswered phase = iota
	// phaseStarted means that the head of the answer has arrived, but nothing of its body.
	phaseStarted
	// phaseAnswering means that a part of the body has arrived.
	phaseAnswering
)

// String returns the name used in logs and metrics.
func (p phase) String() string {
	switch p {
	case phaseUnanswered:
		return "unanswered"
	case phaseStarted:
		return "started"
	default:
		return "answering"
	}
}
