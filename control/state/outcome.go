package state

// OutcomeKind says what came of an operator's order.
type OutcomeKind uint8

const (
	// Accepted orders made a new revision.
	Accepted OutcomeKind = iota + 1
	// Conflict orders lost: their base was no longer the accepted revision.
	Conflict
	// Forgotten orders may be resends of an order whose id is no longer
	// remembered. They are not run, and what came of the first sending is unknown.
	Forgotten
	// Reused orders carry the id of another order with other content.
	Reused
	// Superseded documents have a version that is not above the accepted one. They
	// are acknowledged and change nothing.
	Superseded
)

// Outcome answers an order. A resent order id gets the first one again.
type Outcome struct {
	Kind     OutcomeKind `json:"kind"`
	Revision uint64      `json:"revision"`         // made by the order, when accepted
	Current  uint64      `json:"current"`          // accepted revision when the order was decided
	Winner   *Revision   `json:"winner,omitempty"` // on Conflict: the revision that replaced the base
}
