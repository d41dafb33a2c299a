package quarantine

// Evidence is one observation of an instance about a request. Applying the same
// evidence twice has no further effect.
type Evidence struct {
	Request  Fingerprint `json:"r"`
	Outcome  Outcome     `json:"o"`
	Upstream uint64      `json:"u,omitempty"` // key of the incarnation that ended; 0 for Answered
}

// Outcome is how an upstream's handling of a request ended.
type Outcome uint8

const (
	// EndedWaiting means that the upstream ended while it held the request, and
	// that it is unknown whether it had started to run it.
	EndedWaiting Outcome = iota
	// EndedStarted means that the upstream ended after it had started to run
	// the request.
	EndedStarted
	// Answered means that an upstream answered the request completely, or that
	// an operator released it. It overrides all earlier evidence.
	Answered
)

// String returns the form used in logs.
func (o Outcome) String() string {
	switch o {
	case EndedWaiting:
		return "ended-waiting"
	case EndedStarted:
		return "ended-started"
	default:
		return "answered"
	}
}
