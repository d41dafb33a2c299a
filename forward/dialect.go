package forward

import (
	"time"

	"celeryport/httpwire"
)

// Dialect translates between the header fields of a protocol and the project's
// own terms. It is stateless and safe for concurrent use.
type Dialect interface {
	// DecodeCall reads what a caller asks for. The error carries a verdict.
	DecodeCall(head *httpwire.RequestHead) (*Call, error)
	// SendHead returns the head under which a call goes to an upstream.
	SendHead(call *Call, send *Send) *httpwire.RequestHead
	// DecodeAnswer reads what an upstream says of its answer.
	DecodeAnswer(head *httpwire.ResponseHead) Answer
	// OrderMessage returns the request that carries an order to the engine at an
	// address.
	OrderMessage(address string, order *Order) (*httpwire.RequestHead, []byte, error)
	// OrderDone reports whether the status of an answer says that an order was carried
	// out.
	OrderDone(status int) bool
	// ReportMessage returns the request that asks an engine how it is.
	ReportMessage(address, incarnation string) *httpwire.RequestHead
	// DecodeReport reads the answer to it.
	DecodeReport(body []byte) (*EngineReport, error)
	// RefusalFields returns the fields of an answer that this instance gives itself.
	RefusalFields(call *Call, retryAfter time.Duration) httpwire.Fields
}

// Call is what a caller asks for.
type Call struct {
	ID           string // of this try of the caller
	Method       string
	Target       string // raw, with the query
	Host         string
	Path         string
	Key          string          // that the caller presents, empty if none
	Fields       httpwire.Fields // end-to-end fields as the caller wrote them, without those that this instance sets
	Wait         time.Duration   // how long the caller waits, 0 if it does not say
	PromptTokens int             // 0 if the call carries no prompt
	AnswerTokens int             // at most
	PromptID     uint64          // the same for all tries of a caller with one prompt, 0 if it can't be told
	ResumeAfter  int64           // last event that the caller has
	Resumes      bool            // the caller has events up to ResumeAfter
}

// Send is one try of this instance to have a call answered.
type Send struct {
	Incarnation  string        // of the upstream that is meant
	Organisation string        // whose call it is, empty on a public route
	Left         time.Duration // until nobody waits any more
	ResumeAfter  int64         // last event that the caller has
	Resumes      bool
	Urgent       bool     // before others at the engine
	Helpers      []Helper // engines that read parts of the prompt
}

// Helper is an engine that reads a part of a prompt.
type Helper struct {
	Address     string
	Reservation string // of memory there that keeps a part; empty: none
}

// Order asks an engine to set memory aside, or to give it back.
type Order struct {
	Reservation string // name, chosen here
	Tokens      int
	Hold        time.Duration // after which the memory is free again by itself
	Release     bool          // give it back now
}

// Answer is what an upstream says of its answer.
type Answer struct {
	CallID    string        // of the call that it answers
	NotRun    bool          // the call was not run and never will be
	Elsewhere bool          // the upstream is not the incarnation that was meant
	Genuine   bool          // it bears the mark of an upstream that ran the call
	Encoded   bool          // its body is not what the upstream made
	IdleFor   time.Duration // after which the upstream closes the idle connection, 0 if it does not say
	Rate      *float64      // requests a second that the upstream takes from all instances together; nil: it names none
	Rest      time.Duration // for which the upstream wants nothing more from this instance, 0 if it does not ask for it
	Leaving   bool          // the upstream leaves: it finishes what it has and wants nothing new
	AtFault   string        // address of the engine that made a joint call fail, empty if none is named
	Unread    []string      // fields whose values could not be read, for the log
}

// EngineReport is what an engine says of itself.
type EngineReport struct {
	Pace        float64 // how many times as long as usual it takes
	Incarnation uint64  // of the engine that reports, upstream.Unstated if it does not say
}
