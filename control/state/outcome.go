package state

// OutcomeKind is the result of an operator's order.
type OutcomeKind uint8

const (
	// Accepted orders created a new revision.
	Accepted OutcomeKind = iota + 1
	// Conflict orders were rejected because their base was no longer the accepted revision.
	Conflict
	// Expired orders may be resends of an order whose id has expired. They are not run,
	// and the outcome of the first attempt is unknown.
	Expired
	// Reused orders carry the id of an earlier order with different content.
	Reused
	// Superseded documents have a version that is not above the accepted one. They are
	// acknowledged and change nothing.
	Superseded
)

// Outcome is the answer to an order. A resent order gets the outcome of the first attempt.
type Outcome struct {
	Kind     OutcomeKind `json:"kind"`
	Revision uint64      `json:"revision"`         // created by the order, if accepted
	Current  uint64      `json:"current"`          // accepted revision when the order was decided
	Winner   *Revision   `json:"winner,omitempty"` // for Conflict: the revision that replaced the base

	Evacuated uint64 `json:"evacuated,omitempty"` // for an evacuation: version of the list of evacuated zones
}
