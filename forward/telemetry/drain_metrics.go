package telemetry

// DrainDecision is what became of a call because its instance stops.
type DrainDecision string

// The decisions.
const (
	DrainAccepted    DrainDecision = "accepted"
	DrainRefused     DrainDecision = "refused"
	DrainInterrupted DrainDecision = "interrupted"
)

// Drained counts a call that an instance that stops has accepted, refused or interrupted.
func (m *Metrics) Drained(decision DrainDecision) {
	m.drained.WithLabelValues(string(decision)).Inc()
}
