package supervise

import "fmt"

// Failure is the end of a component without which the instance can't work.
type Failure struct {
	Component string
	Err       error // nil if the component ended without an error
}

// Error implements error.
func (f *Failure) Error() string {
	if f.Err == nil {
		return fmt.Sprintf("%s ended without a request", f.Component)
	}
	return fmt.Sprintf("%s failed: %v", f.Component, f.Err)
}

// Unwrap returns the error of the component.
func (f *Failure) Unwrap() error { return f.Err }
