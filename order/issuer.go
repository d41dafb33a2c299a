package order

import (
	"time"

	"celeryport/control/state"
)

// Issuer is this instance's right to send orders to engines. Its end moves with
// the leader's lease, so it is checked again immediately before every order.
type Issuer struct {
	Fence state.Fence
	Since time.Time // when this instance learned that it is the issuer of orders
	Until time.Time // end of the leader's lease; zero if this instance is not the issuer
}

// Valid reports whether orders may be sent at now.
func (i Issuer) Valid(now time.Time) bool { return now.Before(i.Until) }

// FormerIssuersStopped reports whether every former issuer must have stopped:
// its lease has expired, and the orders that it sent before have been executed
// or lost. Only then may engines that ignore fencing numbers be sent orders.
func (i Issuer) FormerIssuersStopped(now time.Time, delay time.Duration) bool {
	return now.Sub(i.Since) >= delay
}
