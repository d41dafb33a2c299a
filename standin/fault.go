package standin

import "github.com/cockroachdb/errors"

// Fault is one way in which an upstream can misbehave.
type Fault string

// The faults that tests can switch on.
const (
	FaultSlow           Fault = "slow"             // answers after a delay
	FaultRefuse         Fault = "refuse"           // refuses, nothing is run
	FaultCloseAfterRead Fault = "close-after-read" // executes the call, then closes without an answer
	FaultNever          Fault = "never"            // executes the call and never answers
	FaultCloseShort     Fault = "close-short"      // closes the connection in the middle of the answer
	FaultEndShort       Fault = "end-short"        // ends the answer cleanly in its middle
	FaultSilent         Fault = "silent"           // sends half of the answer, then nothing, the connection stays open
	FaultCrossed        Fault = "crossed"          // labels the answer as that of another request
	FaultCorrupt        Fault = "corrupt"          // answers another prompt's text under the right label
	FaultTwice          Fault = "twice"            // sends the whole answer twice
	FaultFreeze         Fault = "freeze"           // nothing moves until the fault is cleared
)

// ErrUnknownFault means that a fault switch does not exist.
var ErrUnknownFault = errors.New("unknown fault")

func (f Fault) known() bool {
	switch f {
	case FaultSlow, FaultRefuse, FaultCloseAfterRead, FaultNever, FaultCloseShort, FaultEndShort,
		FaultSilent, FaultCrossed, FaultCorrupt, FaultTwice, FaultFreeze:
		return true
	}
	return false
}

// FaultSwitch switches a fault on. It is the body of POST /faults.
type FaultSwitch struct {
	Fault   Fault `json:"fault"`
	Times   int   `json:"times,omitempty"`    // so many requests are hit; 0: all until it is cleared
	DelayMs int64 `json:"delay_ms,omitempty"` // for FaultSlow
}
