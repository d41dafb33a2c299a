package order

import (
	"slices"
	"time"

	"celeryport/upstream"
	"celeryport/upstream/wire"
)

// engine is the reconciler's view of one engine.
type engine struct {
	name        string
	address     string
	incarnation uint64
	fencing     upstream.Fencing
	fresh       bool

	state          *wire.EngineState // last read under this issuer; nil if it must be read
	readAt         time.Time
	pending        *wire.Order // order in progress or with a lost answer
	callInProgress bool        // a call is in progress
	backoffUntil   time.Time   // end of the backoff
}

// applyAnnouncement applies the engine's announcement. A restarted engine has
// lost its orders and must be read again.
func (e *engine) applyAnnouncement(u *upstream.Upstream, now time.Time) {
	a := &u.Announcement
	if e.incarnation != a.Incarnation {
		*e = engine{name: a.Name, incarnation: a.Incarnation}
	}
	e.address = a.Address
	e.fencing = a.Fencing
	e.fresh = u.StateAt(now) == upstream.Fresh
}

// stateKnown reports whether the last read state is recent enough to be used.
func (e *engine) stateKnown(now time.Time, lifetime time.Duration) bool {
	return e.state != nil && now.Sub(e.readAt) < lifetime
}

// serves reports whether the engine has the model loaded.
func (e *engine) serves(model string) bool {
	return e.state != nil && slices.Contains(e.state.Models, model)
}

// callable reports whether the engine can be called now.
func (e *engine) callable(now time.Time) bool {
	return e.fresh && !e.callInProgress && !now.Before(e.backoffUntil)
}
