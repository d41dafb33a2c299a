package quarantine

// Recent remembers the requests that were answered last, up to a number of them. A request
// that was answered does not crash its upstreams: without it, a request that many callers
// send in the same words would be blamed for each crash it happened to be beside. It is not
// safe for concurrent use.
type Recent struct {
	ring []Fingerprint
	next int
	held map[Fingerprint]int // how often the ring holds it
}

// NewRecent returns a memory of size requests.
func NewRecent(size int) *Recent {
	return &Recent{ring: make([]Fingerprint, 0, size), held: map[Fingerprint]int{}}
}

// Note remembers a request that was answered.
func (r *Recent) Note(request Fingerprint) {
	if r.held[request] > 0 && r.newest() == request {
		return
	}
	r.held[request]++
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, request)
		return
	}
	oldest := r.ring[r.next]
	if r.held[oldest]--; r.held[oldest] == 0 {
		delete(r.held, oldest)
	}
	r.ring[r.next] = request
	r.next = (r.next + 1) % len(r.ring)
}

// newest returns the request that was noted last.
func (r *Recent) newest() Fingerprint {
	return r.ring[(r.next+len(r.ring)-1)%len(r.ring)]
}

// Contains reports whether a request was answered lately.
func (r *Recent) Contains(request Fingerprint) bool { return r.held[request] > 0 }
