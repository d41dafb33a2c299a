package instance

import (
	"net/http"
	"time"

	"celeryport/control"
	"celeryport/forward"
	"celeryport/settings"
)

// Adapter adapts a forwarding or control instance to the protocols of its environment.
type Adapter struct {
	// Dialect translates the header fields of calls.
	Dialect forward.Dialect
	// Parse reads and validates an operator's document.
	Parse func(file string, text []byte) (*settings.Tree, error)
	// Control serves operators and upstreams at the control address, on paths below
	// ControlPrefix.
	Control       func(node *control.Node) http.Handler
	ControlPrefix string
	// Directory serves callers that request the addresses to use. They may cache an answer
	// for the duration keep.
	Directory func(addresses func(availabilityZone string) []string, keep time.Duration) http.Handler
}
