package throttle

const (
	// demandFactor times the rate is the demand, in requests per second, that
	// the sharing instances should have in total, so that the rate is fully
	// used.
	demandFactor = 2
	// extraSharers is how many instances may share a rate in addition to one
	// per request per second. Each may send one request immediately, and the
	// sum of these bursts stays small compared with what an upstream accepts
	// within a few seconds.
	extraSharers = 3
	// usedFraction leaves a margin for instances that disagree on the number of
	// sharers.
	usedFraction = 0.85
)

// Share returns the part of an upstream's rate that one instance may use, in
// requests per second. rank is its position, from 0, in an order of the
// instances that all of them agree on and that differs between upstreams; own
// is the number of requests per second that this instance receives. Share
// returns 0 if the instance is not one of the sharers.
//
// Few instances share a small rate: if it were divided among all of them, none
// would get a request through for many seconds. The number of sharers is a
// power of two, so that instances with slightly different request rates mostly
// agree on it.
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
	return usedFraction * rate / float64(sharers)
}
