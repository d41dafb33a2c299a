package dispatch

import (
	"celeryport/admission"
	"celeryport/quota"
)

// laneQueue holds the waiting requests of one lane of one target. Lanes
// separate requests that wait for different resources, so that the head of one
// lane never blocks another.
type laneQueue struct {
	kind     laneKind
	target   string
	queue    *admission.Queue
	lateness lateness
	sendRate admission.Rate // prompt tokens per second sent from this lane
}

// laneKind identifies a lane.
type laneKind uint8

const (
	shortLane laneKind = iota
	longLane
	spanLane
	laneKinds
)

// lanes holds the queues of one target and the measured mix of its requests.
type lanes struct {
	byKind [laneKinds]*laneQueue
	mix    admission.MixRate // mix offered to this instance
	load   quota.Mix         // load of the fleet, as fractions of the pool's capacity
}

func newLanes(target string) *lanes {
	l := &lanes{}
	for kind := range laneKinds {
		l.byKind[kind] = &laneQueue{kind: kind, target: target, queue: admission.NewQueue()}
	}
	return l
}
