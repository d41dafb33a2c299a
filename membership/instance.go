// Package membership tracks the instances of the system and their leases.
package membership

// State is the state of an instance.
type State uint8

const (
	// Live instances are published to callers.
	Live State = iota
	// Draining instances finish their calls and are no longer published.
	Draining
	// Gone instances left or did not renew their lease.
	Gone
)

// String returns the name of the state in the wire format.
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

// Instance describes an instance, as published to all others.
type Instance struct {
	Name             string `json:"name"`
	Incarnation      uint64 `json:"incarnation"` // increases with each start of the process
	Address          string `json:"address"`     // for calls
	ControlAddress   string `json:"control_address"`
	AvailabilityZone string `json:"availability_zone"`
	Region           string `json:"region,omitempty"`
	State            State  `json:"state"`
	Voter            bool   `json:"voter"`
	Revision         uint64 `json:"revision"`              // settings revision that the instance has confirmed
	LogVersion       int    `json:"log_version,omitempty"` // newest version of log entries that a voter can read
	Evacuated        uint64 `json:"evacuated,omitempty"`   // version of the list of evacuated zones that the instance has applied
}
