package control

import "context"

// Handler answers one operator's command on an instance. The body and the
// answer are JSON; an error that carries a verdict keeps it on the way back.
type Handler func(ctx context.Context, body []byte) ([]byte, error)

// Operations is the registry of operators' commands and the way to ask other
// instances. Packages above control add their commands to it, for instance the
// report.
type Operations interface {
	// Handle registers the handler of a command before the instance starts.
	Handle(command string, h Handler)
	// Ask sends a command to the instance at a control address, with the
	// instance key.
	Ask(ctx context.Context, controlAddress, command string, body []byte) ([]byte, error)
}
