package instance

import (
	"net/http"
	"time"

	"celeryport/control"
	"celeryport/forward"
	"celeryport/settings"
)

// Adapter is what a forwarding or control instance needs to speak the protocols
// of the place where it runs.
type Adapter struct {
	// Dialect translates the header fields of calls.
	Dialect forward.Dialect
	// Parse reads and checks an operator's document.
	Parse func(file string, text []byte) (*settings.Tree, error)
	// Control answers operators and upstreams at the control address, on paths below
	// ControlPrefix.
	Control       func(node *control.Node) http.Handler
	ControlPrefix string
	// Directory answers callers that ask which addresses to use; an answer may be
	// kept for the time given.
	Directory func(addresses func(availabilityZone string) []string, keep time.Duration) http.Handler
}
