// Package membership holds what the system knows of its own instances.
package membership

// State is the state of an instance.
type State uint8

const (
	// Live instances are handed out to callers.
	Live State = iota
	// Draining instances finish what they have and are no longer handed out.
	Draining
	// Gone instances did not renew their lease or said goodbye.
	Gone
)

// String returns the wire form.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Draining:
		return "draining"
	default:
		return "gone"
	}
}

// Instance is one entry instance, as published to all.
type Instance struct {
	Name             string `json:"name"`
	Incarnation      uint64 `json:"incarnation"` // grows with each start of the process
	Address          string `json:"address"`     // traffic
	ControlAddress   string `json:"control_address"`
	AvailabilityZone string `json:"availability_zone"`
	Region           string `json:"region,omitempty"`
	State            State  `json:"state"`
	Voter            bool   `json:"voter"`
	Revision         uint64 `json:"revision"`              // settings revision that it confirmed
	LogVersion       int    `json:"log_version,omitempty"` // of a voter: newest version of log entries that it can read
}
