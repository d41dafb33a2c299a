package outlier

import (
	"slices"
	"time"

	"celeryport/loadshare"
	"celeryport/quarantine"
)

const (
	// requestRetention is how long a failed request is compared with its other sends.
	requestRetention = 10 * time.Second
	// maxRequests bounds the failed requests that are kept, maxBlames the sends of each.
	maxRequests = 512
	maxBlames   = 16
)

// requests keeps the requests that failed recently. A request that fails at more than one upstream and
// succeeds at none is evidence against none of them.
type requests struct {
	failed map[quarantine.Fingerprint]*failedRequest
}

type failedRequest struct {
	at     time.Time
	sound  bool // some upstream has answered it
	blames []blame
}

// blame is the evidence of a failed request against one upstream.
type blame struct {
	upstream loadshare.Key
	class    string
	sentAt   time.Time
	minor    bool
	weight   float64 // if confirmed
	counted  float64 // the part of it that counts
}

// weigh returns the evidence of the failure if it is confirmed, compared with a usual rate of failures.
func (b *blame) weigh(usual float64) float64 {
	weight, _ := weights(usual)
	if b.minor {
		weight *= minorWeight
	}
	return weight
}

// get returns the record of a failed request, creating it if needed.
func (r *requests) get(now time.Time, request quarantine.Fingerprint) *failedRequest {
	if r.failed == nil {
		r.failed = map[quarantine.Fingerprint]*failedRequest{}
	}
	f := r.failed[request]
	if f == nil {
		if len(r.failed) >= maxRequests {
			r.expire(now)
		}
		f = &failedRequest{}
		if len(r.failed) < maxRequests {
			r.failed[request] = f
		}
	}
	f.at = now
	return f
}

// expire removes old records.
func (r *requests) expire(now time.Time) {
	for request, f := range r.failed {
		if now.Sub(f.at) > requestRetention {
			delete(r.failed, request)
		}
	}
}

// add adds the blame for a send.
func (f *failedRequest) add(b blame) {
	if len(f.blames) >= maxBlames {
		f.blames = slices.Delete(f.blames, 0, 1)
	}
	f.blames = append(f.blames, b)
}

// knows reports whether the failure of a send is known already: that of the send itself, or one of the same
// request at the same upstream, unless the request is sound.
func (f *failedRequest) knows(o Outcome) bool {
	for i := range f.blames {
		if b := &f.blames[i]; b.upstream == o.Upstream && (!f.sound || b.sentAt.Equal(o.SentAt)) {
			return true
		}
	}
	return false
}

// withdraw removes and returns the blame for one send, which was answered after all.
func (f *failedRequest) withdraw(o Outcome) (b blame, found bool) {
	for i, b := range f.blames {
		if b.upstream == o.Upstream && b.sentAt.Equal(o.SentAt) {
			f.blames = slices.Delete(f.blames, i, i+1)
			return b, true
		}
	}
	return blame{}, false
}

// counts returns which part of the evidence of the failures counts.
func (f *failedRequest) counts() float64 {
	switch {
	case f.sound:
		return 1
	case len(f.blames) == 1:
		return unconfirmedWeight
	default:
		return 0
	}
}
