package quarantine

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Evidence is one observation of an instance about a request and the parts of its prompt. Applying
// the same evidence twice has no further effect.
type Evidence struct {
	Request  Fingerprint `json:"r,omitzero"` // the zero value: about the parts only
	Outcome  Outcome     `json:"o"`
	Upstream uint64      `json:"u,omitempty"` // key of the incarnation that ended; 0 for Answered
	Parts    []Part      `json:"p,omitempty"` // that other requests may share
	Identity uint32      `json:"i,omitempty"` // of the request and its parts; 0: not known
}

// Identify returns a short identity of a request and all its parts, never 0.
func Identify(request Fingerprint, parts []Part) uint32 {
	var data []byte
	for _, n := range []uint64{request.Scope, request.Body} {
		data = binary.BigEndian.AppendUint64(data, n)
	}
	for _, p := range parts {
		data = binary.BigEndian.AppendUint64(data, uint64(p))
	}
	return max(1, uint32(xxhash.Sum64(data)))
}

// partEnd returns the end that the evidence adds to the records of its parts.
func (e *Evidence) partEnd(now time.Time) PartEnd {
	end := PartEnd{Upstream: e.Upstream, Started: e.Outcome == EndedStarted, At: now}
	if e.Identity != 0 {
		end.Requests = []uint32{e.Identity}
	}
	return end
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
	// Answered means that an upstream answered the request completely, that it wrote an answer to a
	// request with the parts for longer than one that crashes it would allow, or that an operator
	// released them. It overrides all earlier evidence.
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
