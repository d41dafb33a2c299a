package dispatch

import (
	"time"

	"celeryport/admission"
	"celeryport/routing"
)

// shareSlack is by how much an organisation may be ahead of another one that
// waits in another instance. Grants are half a second old, so a smaller slack
// would hold back one instance for what another one has already sent.
const shareSlack = 1.1

// contendedBacklog is the waiting work, as time of the whole pool, from which
// organisations hold back for others. Below it the queues are what chance makes
// of a load that the fleet can serve, and holding back would only leave nodes
// idle.
const contendedBacklog = 10 * time.Second

// contended says whether more waits over the fleet than chance explains.
func (s *Scheduler) contended(now time.Time, pool *routing.Pool) bool {
	waiting := 0
	for _, a := range s.ordered {
		waiting += a.FleetWaitingTokens(now)
	}
	return float64(waiting) > pool.Rate()*contendedBacklog.Seconds()
}

// byShare says whether the lane is served by share or in order of arrival. Short
// requests wait only when the engines are full of them, so for them it is always
// by share.
func (s *Scheduler) byShare(now time.Time, lane *laneQueue, pool *routing.Pool) bool {
	return lane.kind == shortLane || s.contended(now, pool)
}

// leastWaitingShare is the least share of the organisations whose long requests
// wait in other instances. The queue of this instance is fair only between what
// waits here; an organisation that is far ahead over the whole fleet must leave
// the next free place to those that wait elsewhere.
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

// heldBack says that the ticket's organisation leaves the next place to another.
func heldBack(now time.Time, t *admission.Ticket, least float64, waits bool) bool {
	return waits && t.Account.Share(now) > least*shareSlack
}
