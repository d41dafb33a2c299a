package quarantine

// Recent keeps the most recently answered requests, up to a fixed number. A
// request that was answered does not crash its upstreams: without this check, a
// request that many callers send in identical form would be blamed for every
// crash that occurs while it runs. It is not safe for concurrent use.
type Recent struct {
	ring        []Fingerprint
	next        int
	occurrences map[Fingerprint]int // number of occurrences in the ring
}

// NewRecent returns an empty Recent that keeps size requests.
func NewRecent(size int) *Recent {
	return &Recent{ring: make([]Fingerprint, 0, size), occurrences: map[Fingerprint]int{}}
}

// Add adds a request that was answered.
func (r *Recent) Add(request Fingerprint) {
	if r.occurrences[request] > 0 && r.last() == request {
		return
	}
	r.occurrences[request]++
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, request)
		return
	}
	oldest := r.ring[r.next]
	if r.occurrences[oldest]--; r.occurrences[oldest] == 0 {
		delete(r.occurrences, oldest)
	}
	r.ring[r.next] = request
	r.next = (r.next + 1) % len(r.ring)
}

// last returns the request that was added last.
func (r *Recent) last() Fingerprint {
	return r.ring[(r.next+len(r.ring)-1)%len(r.ring)]
}

// Contains reports whether a request was answered recently.
func (r *Recent) Contains(request Fingerprint) bool { return r.occurrences[request] > 0 }
