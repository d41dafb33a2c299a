package order

import "celeryport/upstream/wire"

// Action is a call that the driver must make to an engine. If Order is nil, the
// call reads the engine's state.
type Action struct {
	Engine      string
	Address     string
	Incarnation uint64 // of the target engine
	Order       *wire.Order
}

// Result is the outcome of an action.
type Result struct {
	Engine      string
	Incarnation uint64
	Order       *wire.Order
	State       *wire.EngineState // as reported by the engine; nil if the answer was lost
	Accepted    bool              // the engine accepted the order
	Reason      string            // reason of a refusal or of a lost answer
}
