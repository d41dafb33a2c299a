package binding

import "fmt"

// Refusal is the error of an address that can't be bound unless the settings or the host change.
type Refusal struct {
	Purpose string // what the address serves
	Address string // host:port, as in the settings
	Err     error  // error of the attempt to bind it
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("address %s for %s can't be used: %v", r.Address, r.Purpose, r.Err)
}

// Unwrap returns the error of the attempt to bind the address.
func (r *Refusal) Unwrap() error { return r.Err }
