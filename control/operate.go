package control

import "context"

// Handler executes an operator's command on an instance. The body and the response are
// JSON. The verdict of an error is preserved in the response.
type Handler func(ctx context.Context, body []byte) ([]byte, error)

// Operations is the registry of operators' commands and the way to send commands to other
// instances. Packages above control, for instance the one for reports, register their
// commands with it.
type Operations interface {
	// Handle registers the handler of a command. It must be called before the instance
	// starts.
	Handle(command string, h Handler)
	// Ask sends a command to the instance at a control address, authenticated with the
	// instance key.
	Ask(ctx context.Context, controlAddress, command string, body []byte) ([]byte, error)
}
