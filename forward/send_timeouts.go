package forward

import (
	"time"

	"celeryport/placement"
)

const (
	// minSilenceTimeout is the shortest time without data from an engine after which it is
	// checked whether it is still reachable.
	minSilenceTimeout = 600 * time.Millisecond
	// serviceSilenceTimeout is the same time for a plain service, whose calls take some tens of
	// milliseconds.
	serviceSilenceTimeout = 200 * time.Millisecond
)

// silenceTimeout returns the time without data from the upstream after which it is checked
// whether the upstream is still reachable.
func (x *exchange) silenceTimeout() time.Duration {
	if x.service.Engine == nil {
		return serviceSilenceTimeout
	}
	return max(minSilenceTimeout, x.predicted+x.predicted/2)
}

// lostPathsMargin is how much later than predicted data may arrive on a connection that may be lost
// with the paths to all upstreams.
const lostPathsMargin = 100 * time.Millisecond

// silenceOnLostPaths replaces silenceTimeout while the paths to the upstreams are lost. begun means
// that the answer has begun.
func (x *exchange) silenceOnLostPaths(begun bool) time.Duration {
	switch {
	case x.service.Engine == nil:
		return lostPathsMargin
	case begun:
		return max(lostPathsMargin, x.route.PauseLimit/2)
	default:
		return x.predicted + lostPathsMargin
	}
}

const (
	// hangFactor is how many times the predicted time of the first event an answer may take to
	// begin before the upstream counts as hung. Predictions are accurate to within 0.1 s except
	// for slow engines.
	hangFactor = 3
	// fullWaitFactor times the wait at an engine whose slots are all taken is the shortest hang
	// time-out of an engine: the answers in the slots may be longer than usual.
	fullWaitFactor = 2
	// serviceHangTimeout is the hang time-out of a plain service, where an answer begins after
	// two or three others of some tens of milliseconds.
	serviceHangTimeout = 300 * time.Millisecond
)

// hangTimeout returns how long an upstream may take to begin its answer before it counts as
// hung.
func (x *exchange) hangTimeout() time.Duration {
	if x.service.Engine == nil {
		return serviceHangTimeout
	}
	return max(fullWaitFactor*placement.FullWait(x.service.Engine), hangFactor*x.predicted)
}
