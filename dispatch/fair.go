package dispatch

import (
	"time"

	"celeryport/admission"
	"celeryport/routing"
)

// shareSlack is the factor by which an organisation's share may exceed that of
// another organisation that waits in another instance. Grants are half a second
// old, so a smaller factor would hold back one instance for requests that
// another one has already sent.
const shareSlack = 1.1

// contendedBacklog is the waiting work, expressed as processing time of the
// whole pool, above which organisations hold back for others. Shorter queues
// are random variation of a load that the fleet can serve, and holding back
// would only leave nodes idle.
const contendedBacklog = 10 * time.Second

// contended reports whether the fleet-wide backlog exceeds random variation.
func (s *Scheduler) contended(now time.Time, pool *routing.Pool) bool {
	waiting := 0
	for _, a := range s.ordered {
		waiting += a.FleetWaitingTokens(now)
	}
	return float64(waiting) > pool.Rate()*contendedBacklog.Seconds()
}

// servedByShare reports whether the lane is served by share rather than in
// order of arrival. Short requests wait only when the engines are full of them,
// so the short lane is always served by share.
func (s *Scheduler) servedByShare(now time.Time, lane *laneQueue, pool *routing.Pool) bool {
	return lane.kind == shortLane || s.contended(now, pool)
}

// leastWaitingShare returns the smallest share among the organisations whose
// long requests wait in other instances. The queue of this instance is fair
// only among the requests in it; an organisation that is far ahead over the
// whole fleet must leave the next free place to those that wait elsewhere.
func (s *Scheduler) leastWaitingShare(now time.Time, lane *laneQueue, pool *routing.Pool) (float64, bool) {
	if lane.kind == shortLane || !s.contended(now, pool) {
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

// yieldsPlace reports whether the ticket's organisation must leave the next place
// to an organisation that waits elsewhere.
func yieldsPlace(now time.Time, t *admission.Ticket, least float64, waits bool) bool {
	return waits && t.Account.Share(now) > least*shareSlack
}
