package dispatch

import (
	"time"

	"celeryport/admission"
)

// shareSlack is by how much an organisation may be ahead of another one that
// waits in another instance. Grants are half a second old, so a smaller slack
// would hold back one instance for what another one has already sent.
const shareSlack = 1.05

// leastWaitingShare is the least share of the organisations whose long requests
// wait in other instances. The queue of this instance is fair only between what
// waits here; an organisation that is far ahead over the whole fleet must leave
// the next free place to those that wait elsewhere.
func (s *Scheduler) leastWaitingShare(now time.Time, lane *laneQueue) (float64, bool) {
	if lane.kind == shortLane {
		return 0, false
	}
	least, found := 0.0, false
	for _, a := range s.ordered {
		if !a.FleetWaitsElsewhere(now, lane.kind == spanLane) {
			continue
		}
		if share := a.Share(now); !found || share < least {
			least, found = share, true
		}
	}
	return least, found
}

// heldBack says that the ticket's organisation leaves the next place to another.
func heldBack(now time.Time, t *admission.Ticket, least float64, waits bool) bool {
	return waits && t.Account.Share(now) > least*shareSlack
}
