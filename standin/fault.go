package standin

import "github.com/cockroachdb/errors"

// Fault is a kind of misbehaviour of an upstream.
type Fault string

// The faults that tests can enable.
const (
	FaultSlow           Fault = "slow"             // answers after a delay
	FaultRefuse         Fault = "refuse"           // refuses the call without executing it
	FaultCloseAfterRead Fault = "close-after-read" // executes the call, then closes the connection without an answer
	FaultNever          Fault = "never"            // executes the call and never answers
	FaultCloseShort     Fault = "close-short"      // closes the connection halfway through the answer
	FaultEndShort       Fault = "end-short"        // ends the answer halfway without a transport error
	FaultSilent         Fault = "silent"           // sends half of the answer, then nothing on the open connection
	FaultCrossed        Fault = "crossed"          // labels the answer as that of another request
	FaultCorrupt        Fault = "corrupt"          // sends the text of another prompt, labelled as the right answer
	FaultTwice          Fault = "twice"            // sends the whole answer twice
	FaultFreeze         Fault = "freeze"           // stops all work until the fault is cleared
)

// ErrUnknownFault means that there is no fault of this name.
var ErrUnknownFault = errors.New("unknown fault")

func (f Fault) known() bool {
	switch f {
	case FaultSlow, FaultRefuse, FaultCloseAfterRead, FaultNever, FaultCloseShort, FaultEndShort,
		FaultSilent, FaultCrossed, FaultCorrupt, FaultTwice, FaultFreeze:
		return true
	}
	return false
}

// FaultSwitch enables a fault. It is the body of POST /faults.
type FaultSwitch struct {
	Fault   Fault `json:"fault"`
	Times   int   `json:"times,omitempty"`    // number of requests affected; 0: all until the fault is cleared
	DelayMs int64 `json:"delay_ms,omitempty"` // for FaultSlow
}
