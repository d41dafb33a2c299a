package dispatch

import (
	"time"

	"celeryport/admission"
)

// laneQueue holds the waiting requests of one lane of one target. Lanes keep
// kinds of requests apart that wait for different things, so that the head of
// one never holds up another.
type laneQueue struct {
	kind   laneKind
	target string
	queue  *admission.Queue
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
	short  admission.Rate // tokens offered a second
	long   admission.Rate
}

func newLanes(target string) *lanes {
	l := &lanes{}
	for kind := range laneKinds {
		l.byKind[kind] = &laneQueue{kind: kind, target: target, queue: admission.NewQueue()}
	}
	return l
}

// longShare is the part of the offered tokens that is of long requests.
func (l *lanes) longShare(now time.Time) float64 {
	short, long := l.short.PerSecond(now), l.long.PerSecond(now)
	if short+long == 0 {
		return 0
	}
	return long / (short + long)
}
