package forward

import (
	"math"
	"time"
)

// record is how a node's sends ended of late: a share of failures that follows the
// newest ones and fades with time, so that a node which gets no work because of it
// is tried again.
//
// An engine that fails a part of its calls at once is never full. Chosen by load
// alone, it draws more calls than any other.
type record struct {
	share float64
	at    time.Time
}

const (
	// newestWeight is the weight of the newest send: three failures in a row give a
	// share of one half.
	newestWeight = 0.2
	// fadeHalf is the time in which a share halves without sends.
	fadeHalf = 2 * time.Second
	// mostFailed is the share from which on an engine is passed over. One that answers
	// one call in seven with a failure of its own stays below it.
	mostFailed = 0.4
)

// note takes in the end of one send.
func (r *record) note(now time.Time, failed bool) {
	share := r.failed(now) * (1 - newestWeight)
	if failed {
		share += newestWeight
	}
	r.share, r.at = share, now
}

// failed returns the share at now.
func (r *record) failed(now time.Time) float64 {
	if r.share == 0 {
		return 0
	}
	return r.share * math.Exp2(-float64(now.Sub(r.at))/float64(fadeHalf))
}
