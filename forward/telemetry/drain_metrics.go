package telemetry

// DrainDecision is what became of a call because its instance stops.
type DrainDecision string

// The decisions.
const (
	DrainAccepted    DrainDecision = "accepted"
	DrainRefused     DrainDecision = "refused"
	DrainInterrupted DrainDecision = "interrupted"
)

// Drained counts a call that an instance that stops has accepted, refused or interrupted. basis is what the
// time that the call needs was derived from, empty if that was not decided.
func (m *Metrics) Drained(decision DrainDecision, basis string) {
	m.drained.WithLabelValues(string(decision), basis).Inc()
}
