package forward

import (
	"time"

	"celeryport/httpwire"
	"celeryport/quarantine"
	"celeryport/recovery"
)

// Dialect translates between the header fields of a protocol and the types of this package. It
// is stateless and safe for concurrent use.
type Dialect interface {
	// DecodeCall decodes a caller's request. The error carries a verdict.
	DecodeCall(head *httpwire.RequestHead) (*Call, error)
	// CallID returns the ID that a call's head states, empty if it states none, also of calls that can't be decoded.
	CallID(head *httpwire.RequestHead) string
	// SendHead returns the request head with which a call is sent to an upstream.
	SendHead(call *Call, send *Send) *httpwire.RequestHead
	// TransitHead returns the request head with which another instance gets a call that it handles
	// for this one: the caller's own, with the last event that the caller has received.
	TransitHead(call *Call, resumeAfter int64, resumes bool) *httpwire.RequestHead
	// DecodeAnswer decodes what the head of an upstream's answer states.
	DecodeAnswer(head *httpwire.ResponseHead) Answer
	// OrderMessage returns the request that carries an order to the engine at an address.
	OrderMessage(address string, order *Order) (*httpwire.RequestHead, []byte, error)
	// OrderDone reports whether the status of an answer means that an order was carried out.
	OrderDone(status int) bool
	// ReportMessage returns the request that polls an engine for its report.
	ReportMessage(address, incarnation string) *httpwire.RequestHead
	// DecodeReport decodes the body of the answer to a ReportMessage.
	DecodeReport(body []byte) (*EngineReport, error)
	// DecodeMemoryUse decodes, from the body of the same answer, whether a call uses the memory of a reservation.
	DecodeMemoryUse(body []byte, reservation string) (MemoryUse, error)
	// HealthMessage returns the request that asks an upstream of a plain service whether it is healthy.
	HealthMessage(address, incarnation, path string) *httpwire.RequestHead
	// RefusalFields returns the header fields of an answer that this instance generates itself.
	RefusalFields(call *Call, retryAfter time.Duration) httpwire.Fields
}

// Call is the decoded request of a caller.
type Call struct {
	ID           string // unique to this try of the caller
	Method       string
	Target       string // raw, with the query
	Host         string
	Path         string
	Key          string            // key that the caller presents, empty if none
	Fields       httpwire.Fields   // the caller's end-to-end fields unchanged, without those that this instance sets
	Wait         time.Duration     // how long the caller waits, 0 if not stated
	PromptTokens int               // 0 if the call carries no prompt
	AnswerTokens int               // upper bound
	PromptID     uint64            // equal for all tries of a caller with one prompt, 0 if unknown
	PromptParts  []quarantine.Part // parts of the prompt that other requests may share, each once; at most quarantine.MaxParts
	ResumeAfter  int64             // last event that the caller has received
	Resumes      bool              // the caller has received events up to ResumeAfter
}

// Send describes one send of a call to an upstream.
type Send struct {
	Incarnation  string        // intended incarnation of the upstream
	Organisation string        // organisation of the caller, empty on a public route
	Left         time.Duration // time until the caller stops waiting
	ResumeAfter  int64         // last event that the caller has received
	Resumes      bool
	Urgent       bool     // scheduled before other calls at the engine
	Helpers      []Helper // engines that read parts of the prompt
}

// Helper is an engine that reads a part of a prompt for the lead engine.
type Helper struct {
	Address     string
	Reservation string // name of the memory reservation for the part; empty: none
}

// Order asks an engine to reserve memory, or to release a reservation.
type Order struct {
	Incarnation string // name of the intended engine; any other one rejects the order
	Reservation string // name, chosen by this instance
	Tokens      int
	Hold        time.Duration // lease after which the memory is released automatically
	Release     bool          // release the memory now
}

// Answer is what an upstream states in the head of its answer.
type Answer struct {
	CallID           string         // ID of the call that it answers
	NotRun           bool           // the call was not run and never will be
	Incarnation      string         // name of the incarnation that answers, empty if not stated
	WrongIncarnation bool           // the upstream is not the intended incarnation
	Genuine          bool           // it carries the mark of an upstream that ran the call
	Encoded          bool           // its body has a content encoding, so it is not as the upstream produced it
	IdleFor          time.Duration  // after which the upstream closes the idle connection, 0 if not stated
	Rate             *float64       // requests per second that the upstream accepts from all instances together; nil: none named
	Rest             time.Duration  // rest period in which the upstream wants no requests from this instance, 0 if none
	Cold             *time.Duration // for how long the upstream is still cold, nil if not stated
	Leaving          bool           // the upstream is leaving: it finishes its current calls and accepts no new ones
	AtFault          string         // address of the engine that caused a call on several engines to fail, empty if not stated
	Unparsable       []string       // fields whose values could not be parsed, for the log
}

// EngineReport is an engine's answer to a poll.
type EngineReport struct {
	Pace        float64 // factor by which the engine is slower than usual
	Incarnation uint64  // incarnation of the reporting engine, upstream.UnknownIncarnation if not stated
	// State is the load of the engine, or nil if the report does not state it or can't be read.
	State *recovery.EngineState
}
