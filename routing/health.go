package routing

import "time"

// The constants of outlier ejection.
const (
	healthGain      = 0.3              // weight of the newest sample
	failureWeight   = 0.5              // factor for each failure in a row
	minWeight       = 0.05             // weight of an upstream that only fails
	ejectAfter      = 3                // failures in a row
	ejectBase       = time.Second      // first ejection
	ejectMax        = 30 * time.Second // longest ejection
	slowRatio       = 4.0              // observed to predicted time that counts as slow
	slowFloor       = 500 * time.Millisecond
	slowWeightFloor = 0.2
)

// Health is the standing of an upstream with this instance. It answers for
// faults that reports don't show: an upstream that refuses connections, breaks
// its protocol, or takes far longer than its reports promise.
type Health struct {
	failures int // in a row
	ejected  int // ejections in a row
	until    time.Time
	slowness float64 // smoothed ratio of observed to predicted time, 0: unknown
}

// Success notes a whole answer.
func (h *Health) Success() {
	h.failures = 0
	h.ejected = 0
	h.until = time.Time{}
}

// Failure notes a failed attempt and says whether the upstream is ejected now.
func (h *Health) Failure(now time.Time) bool {
	h.failures++
	if h.failures < ejectAfter && h.ejected == 0 {
		return false
	}
	return h.eject(now)
}

// Unreachable notes that nothing could be sent at all; that is proof enough.
func (h *Health) Unreachable(now time.Time) bool { return h.eject(now) }

func (h *Health) eject(now time.Time) bool {
	span := min(ejectMax, ejectBase<<min(h.ejected, 8))
	h.until = now.Add(span)
	h.ejected++
	return true
}

// FirstToken compares the time to a first token with its prediction.
func (h *Health) FirstToken(observed, predicted time.Duration) {
	if observed < slowFloor {
		observed = min(observed, predicted)
	}
	ratio := float64(observed) / float64(max(predicted, time.Millisecond))
	ratio = min(max(ratio, 1), 20)
	if h.slowness == 0 {
		h.slowness = 1
	}
	h.slowness += healthGain * (ratio - h.slowness)
}

// Ejected says whether the upstream gets no work but probes.
func (h *Health) Ejected(now time.Time) bool { return now.Before(h.until) }

// ProbeDue says whether an ejected upstream may get one request to prove itself.
func (h *Health) ProbeDue(now time.Time) bool { return h.ejected > 0 && !now.Before(h.until) }

// weight divides the predicted time in comparisons.
func (h *Health) weight() float64 {
	w := 1.0
	for i := 0; i < h.failures && w > minWeight; i++ {
		w *= failureWeight
	}
	if h.slowness > slowRatio {
		w *= max(slowWeightFloor, slowRatio/h.slowness)
	}
	return max(w, minWeight)
}
