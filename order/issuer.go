package order

import (
	"time"

	"celeryport/control/state"
)

// Issuer is this instance's right to order engines. Its end moves with the
// leader's lease, so it is read afresh right before every order.
type Issuer struct {
	Fence   state.Fence
	TakenAt time.Time // when this instance learned that it is the issuer
	Until   time.Time // end of the leader's lease; zero when it is not the issuer
}

// Valid reports whether orders may be sent at now.
func (i Issuer) Valid(now time.Time) bool { return now.Before(i.Until) }

// Waited reports whether every former issuer has surely stopped: its lease ended
// and the orders that it had sent by then have been executed or lost. Engines
// that ignore fencing numbers may be ordered only after that.
func (i Issuer) Waited(now time.Time, wait time.Duration) bool { return now.Sub(i.TakenAt) >= wait }
