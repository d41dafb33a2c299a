package forward

// phase is how far a send has come, as far as its connection shows.
type phase uint8

const (
	// phaseUnanswered: nothing of the answer has come; the call may wait or run.
	phaseUnanswered phase = iota
	// phaseStarted: the head of the answer has come, and nothing of its body.
	phaseStarted
	// phaseAnswering: a part of the answer has come.
	phaseAnswering
)

// String returns the form of logs and metrics.
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
