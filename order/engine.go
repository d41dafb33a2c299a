package order

import (
	"slices"
	"time"

	"celeryport/upstream"
	"celeryport/upstream/wire"
)

// engine is what the reconciler knows of one engine.
type engine struct {
	name        string
	address     string
	incarnation uint64
	fencing     upstream.Fencing
	fresh       bool

	state    *wire.EngineState // last read under this issuer, nil: must be read
	readAt   time.Time
	pending  *wire.Order // under way or with a lost answer
	calling  bool        // a call is under way
	notUntil time.Time   // back off until then
}

// follow takes over what the engine announces of itself. A restarted engine
// forgot its orders and must be read again.
func (e *engine) follow(u *upstream.Upstream, now time.Time) {
	a := &u.Announcement
	if e.incarnation != a.Incarnation {
		*e = engine{name: a.Name, incarnation: a.Incarnation}
	}
	e.address = a.Address
	e.fencing = a.Fencing
	e.fresh = u.StateAt(now) == upstream.Fresh
}

// known reports whether what the engine said may still be believed.
func (e *engine) known(now time.Time, reread time.Duration) bool {
	return e.state != nil && now.Sub(e.readAt) < reread
}

// serves reports whether the engine has the model loaded.
func (e *engine) serves(model string) bool {
	return e.state != nil && slices.Contains(e.state.Models, model)
}

// free reports whether the engine can be called now.
func (e *engine) free(now time.Time) bool {
	return e.fresh && !e.calling && !now.Before(e.notUntil)
}
