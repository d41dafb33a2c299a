package dispatch

import (
	"time"

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
	late   time.Duration  // smoothed time by which first tokens came after their prediction
	sent   admission.Rate // prompt tokens a second sent from here
}

// lateGain is the weight of the newest sample.
const lateGain = 0.1

// learn takes the time by which a first token came after its prediction.
func (l *laneQueue) learn(late time.Duration) {
	l.late += time.Duration(lateGain * float64(max(0, late)-l.late))
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
