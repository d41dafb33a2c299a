package supervise

import "time"

// Step is what follows from the end of a component.
type Step string

// The steps.
const (
	Continue     Step = "continue" // the others go on, nothing else follows
	Reopen       Step = "reopen"   // the I/O of the component is opened again after a pause
	StopInstance Step = "stop"     // the other components are stopped in order
)

// Ending describes a component that ended without a request.
type Ending struct {
	Kind      Kind
	Stopping  bool          // the instance is being stopped already
	Refused   bool          // its address can't be used unless the settings or the host change
	Opened    bool          // its I/O has been open since the start of the instance
	Ran       time.Duration // how long its I/O was open this time
	LastPause time.Duration // the pause before its I/O was opened this time; 0: none
}

// Decision is the step that follows from an ending, and for Reopen the pause before it.
type Decision struct {
	Step  Step
	Pause time.Duration
}

const (
	minPause = 50 * time.Millisecond
	maxPause = 5 * time.Second
	// steadyRun is how long a component has to work for its next end to count as a new one.
	steadyRun = time.Minute
)

// Decide returns what follows from an ending.
func Decide(e Ending) Decision {
	switch {
	case e.Kind == Essential && e.Stopping:
		return Decision{Step: Continue}
	case e.Kind == Essential:
		return Decision{Step: StopInstance}
	case e.Refused && !e.Opened && e.Stopping:
		return Decision{Step: Continue}
	case e.Refused && !e.Opened: // a fault of the settings
		return Decision{Step: StopInstance}
	case e.LastPause == 0 || e.Ran >= steadyRun:
		return Decision{Step: Reopen, Pause: minPause}
	default:
		return Decision{Step: Reopen, Pause: min(maxPause, 2*e.LastPause)}
	}
}
