package dispatch

import (
	"celeryport/admission"
	"celeryport/quota"
)

// laneQueue holds the waiting requests of one lane of one target. Lanes keep
// kinds of requests apart that wait for different things, so that the head of
// one never holds up another.
type laneQueue struct {
	kind   laneKind
	target string
	queue  *admission.Queue
	sent   admission.Rate // prompt tokens a second sent from here
}

// laneKind is the kind of a lane.
type laneKind uint8

const (
	shortLane laneKind = iota
	longLane
	spanLane
	laneKinds
)

// lanes are the queues of one target, and the measured mix of its requests.
type lanes struct {
	byKind [laneKinds]*laneQueue
	mix    admission.MixRate // offered to this instance
	load   quota.Mix         // of the fleet, as parts of the pool's capacity
}

func newLanes(target string) *lanes {
	l := &lanes{}
	for kind := range laneKinds {
		l.byKind[kind] = &laneQueue{kind: kind, target: target, queue: admission.NewQueue()}
	}
	return l
}
