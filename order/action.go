package order

import "celeryport/upstream/wire"

// Action is one call that the driver shall make to an engine. Order is nil for
// reading the engine's state back.
type Action struct {
	Engine      string
	Address     string
	Incarnation uint64 // of the engine that is meant
	Order       *wire.Order
}

// Result tells the reconciler what came of an action.
type Result struct {
	Engine      string
	Incarnation uint64
	Order       *wire.Order
	State       *wire.EngineState // as the engine reported it; nil when the answer was lost
	Accepted    bool              // the engine executes the order
	Reason      string            // why it refused, or why the answer was lost
}
