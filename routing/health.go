package routing

import (
	"math"
	"time"

	"celeryport/failover"
)

// Parameters of the ejection of unreachable upstreams and the weight of slow ones.
const (
	healthGain      = 0.3              // weight of the newest sample
	ejectBase       = time.Second      // duration of the first ejection
	ejectMax        = 30 * time.Second // maximum duration of an ejection
	slowRatio       = 4.0              // ratio of observed to predicted time that counts as slow
	slowFloor       = 500 * time.Millisecond
	slowWeightFloor = 0.2
	// slowHalfLife is the half-life of the excess over the predicted time. A slow upstream that gets
	// no calls brings no newer sample.
	slowHalfLife = 5 * time.Second
)

// Health tracks how an upstream can be reached by this instance and how fast it
// answers. It detects faults that load reports do not show: an upstream that
// refuses connections or takes much longer than its reports predict. Those that
// fail what they accept are found by comparison with others, see Pool.
type Health struct {
	ejections    int // consecutive ejections
	ejectedUntil time.Time
	slowness     float64 // smoothed ratio of observed to predicted time, as of slowAt; 0 if unknown
	slowAt       time.Time
	reachability failover.Reachability
	silent       bool // the last failure was a connection that was not opened in time
}

// Success records a complete answer.
func (h *Health) Success() {
	h.ejections = 0
	h.ejectedUntil = time.Time{}
	h.reachability.Reached()
}

// Unreachable records that no request could be sent, which ejects the upstream
// immediately. It does not lengthen an ejection: the calls whose failures follow
// were sent before it, and fail for the same cause.
func (h *Health) Unreachable(now time.Time) {
	h.silent = false
	if h.Ejected(now) {
		return
	}
	span := min(ejectMax, ejectBase<<min(h.ejections, 8))
	h.ejectedUntil = now.Add(span)
	h.ejections++
}

// NoConnection records that the failure recorded last was a connection that was
// refused, or not opened in time.
func (h *Health) NoConnection(now time.Time, refused bool) {
	h.reachability.Failed(now, refused)
	h.silent = !refused
}

// onlySilent reports whether nothing is known against the upstream but that it
// took no connection in time.
func (h *Health) onlySilent() bool { return h.silent }

// Contact returns what the attempts to connect to the upstream show.
func (h *Health) Contact(now time.Time) failover.Contact { return h.reachability.Contact(now, false) }

// FirstToken records the time to a first token relative to its prediction.
func (h *Health) FirstToken(now time.Time, observed, predicted time.Duration) {
	h.reachability.Reached()
	if observed < slowFloor {
		observed = min(observed, predicted)
	}
	ratio := float64(observed) / float64(max(predicted, time.Millisecond))
	ratio = min(max(ratio, 1), 20)
	slowness := max(1, h.slownessAt(now))
	h.slowness, h.slowAt = slowness+healthGain*(ratio-slowness), now
}

// slownessAt returns the smoothed ratio of observed to predicted time, which returns to 1 without
// newer samples.
func (h *Health) slownessAt(now time.Time) float64 {
	if h.slowness <= 1 {
		return h.slowness
	}
	return 1 + (h.slowness-1)*math.Exp2(-float64(now.Sub(h.slowAt))/float64(slowHalfLife))
}

// Ejected reports whether the upstream currently receives no requests except
// probes.
func (h *Health) Ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// ProbeDue reports whether an ejected upstream may receive a probe request.
func (h *Health) ProbeDue(now time.Time) bool { return h.ejections > 0 && !now.Before(h.ejectedUntil) }

// weight returns the factor by which predicted times are divided in
// comparisons.
func (n *Node) weight(now time.Time) float64 {
	w := 1.0
	if n.doubted {
		w = doubtedWeight
	}
	if n.Health.slowness <= slowRatio {
		return w
	}
	if slowness := n.Health.slownessAt(now); slowness > slowRatio {
		w *= max(slowWeightFloor, slowRatio/slowness)
	}
	return w
}
