package quarantine

import (
	"slices"
	"time"
)

// PartEnd is the end of an upstream that had a request with the part.
type PartEnd struct {
	Upstream uint64    `json:"u"` // key of the incarnation
	Started  bool      `json:"s,omitempty"`
	At       time.Time `json:"at"`
	// Requests are the lowest identities of the requests with the part, sorted; only of started ones if any
	// was started. None: not known.
	Requests []uint32 `json:"r,omitempty"`
}

// maxEndRequests bounds the requests listed for an end.
const maxEndRequests = 8

// merge adds what another request tells about the same end. It does not change the array of an earlier copy.
func (e *PartEnd) merge(other *PartEnd) {
	if e.Started != other.Started {
		if other.Started {
			e.Started, e.Requests = true, other.Requests
		}
		return
	}
	requests := slices.Concat(e.Requests, other.Requests)
	slices.Sort(requests)
	requests = slices.Compact(requests)
	e.Requests = requests[:min(len(requests), maxEndRequests)]
}

// listing is whether the list of an end has a request.
type listing int

const (
	unlisted listing = iota
	listed
	dropped // perhaps, as one above the limit
)

func (e *PartEnd) lists(id uint32) listing {
	switch {
	case slices.Contains(e.Requests, id):
		return listed
	case len(e.Requests) == maxEndRequests && id > e.Requests[maxEndRequests-1]:
		return dropped
	default:
		return unlisted
	}
}

// apartFrom reports whether a request with the part lacked the part of another end of the same upstream, and
// whether the lists of requests are long enough to tell. Where they are empty, the parts may have come together.
func (e *PartEnd) apartFrom(other *PartEnd) (told, apart bool) {
	if len(e.Requests) == 0 || len(other.Requests) == 0 {
		return true, false
	}
	told = true
	for _, id := range e.Requests {
		switch other.lists(id) {
		case listed:
		case dropped:
			told = false
		case unlisted:
			return true, true
		}
	}
	return told, false
}

// covered reports whether each request with the part may have had one of some other parts.
func (e *PartEnd) covered(others []*PartRecord) bool {
	return !slices.ContainsFunc(e.Requests, func(id uint32) bool {
		return !slices.ContainsFunc(others, func(r *PartRecord) bool {
			end := r.end(e.Upstream)
			return end != nil && end.lists(id) != unlisted
		})
	})
}
