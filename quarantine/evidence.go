package quarantine

// Evidence is what an instance saw of one request. Taking in the same evidence twice
// changes nothing.
type Evidence struct {
	Request  Fingerprint `json:"r"`
	Outcome  Outcome     `json:"o"`
	Upstream uint64      `json:"u,omitempty"` // key of the incarnation that ended; 0 for Answered
}

// Outcome is what became of a request at an upstream.
type Outcome uint8

const (
	// EndedWaiting means that the upstream ended while it had the request, and that it is
	// not known whether it had begun to run it.
	EndedWaiting Outcome = iota
	// EndedStarted means that the upstream ended after it had begun to run the request.
	EndedStarted
	// Answered means that an upstream answered the request whole, or that an operator
	// vouches for it. It outweighs all evidence before it.
	Answered
)

// String returns the form that logs show.
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
