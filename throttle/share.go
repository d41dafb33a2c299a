package throttle

const (
	// demandFactor times the rate is how many requests a second the instances that share it
	// should have between them, so that what comes to them uses it.
	demandFactor = 2
	// extraSharers is how many instances may share a rate beside one for each request a
	// second. Each may send one request at once, and together these bursts stay small
	// against what an upstream takes in some seconds.
	extraSharers = 3
	// usedPart leaves room for instances that disagree on how many of them share.
	usedPart = 0.85
)

// Share returns the part of an upstream's rate that one instance may use, in requests a
// second. rank is its place, from 0, in an order of the instances that all of them agree on
// and that differs with the upstream; own is how many requests a second come to it.
//
// Few instances share a small rate: divided among all of them, none would get a request
// through for many seconds. The number of sharers is a power of two, so that instances to
// which somewhat different numbers of requests come mostly agree on it.
func Share(rate float64, rank, instances int, own float64) float64 {
	most := min(instances, extraSharers+int(rate))
	sharers := 1
	for sharers < most && float64(sharers)*own < demandFactor*rate {
		sharers *= 2
	}
	sharers = max(1, min(sharers, most))
	if rank >= sharers {
		return 0
	}
	return usedPart * rate / float64(sharers)
}
