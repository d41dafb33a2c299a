package forward

import (
	"time"

	"celeryport/placement"
)

const (
	// leastPatience is how long an upstream may send nothing before it is asked
	// whether it is there.
	leastPatience = 600 * time.Millisecond
	// servicePatience is that of a plain service, whose calls take some tens of
	// milliseconds.
	servicePatience = 200 * time.Millisecond
)

// patience is how long the upstream may send nothing before it is asked whether it
// is there.
func (x *exchange) patience() time.Duration {
	if x.service.Engine == nil {
		return servicePatience
	}
	return max(leastPatience, x.predicted+x.predicted/2)
}

const (
	// overdueFactor times the predicted first event is how late an answer may begin
	// before the upstream counts as hung; predictions are right within 0.1 s, but for
	// engines that are slow.
	overdueFactor = 3
	// fullWaits times the wait at an engine with all slots taken is the least of that
	// time: other answers may be longer than usual.
	fullWaits = 2
	// serviceOverdue is the least of that time at a plain service, which begins after
	// two or three others of some tens of milliseconds.
	serviceOverdue = 300 * time.Millisecond
)

// overdue is how long an upstream may take to begin its answer before it counts as
// hung.
func (x *exchange) overdue() time.Duration {
	if x.service.Engine == nil {
		return serviceOverdue
	}
	return max(fullWaits*placement.FullWait(x.service.Engine), overdueFactor*x.predicted)
}
