package loadshare

import "time"

// Load is the load of one instance, or of all instances combined, at an upstream.
type Load struct {
	Streams     int           // calls in flight
	Tight       int           // of these, streams that allow only short pauses
	Late        int           // of these, streams that can't be in time any more
	PrefillTime time.Duration // time until all prompts sent are prefilled
	Held        int           // tokens of KV memory in use
	Leading     int           // calls without an event yet whose prompt it prefills, alone or with helpers
	Helping     int           // parts that it prefills for such calls led by other upstreams
	Suspicions  int           // instances that recently failed to reach it
	Failing     int           // instances whose last call there recently failed although it was reachable
	Doubts      int           // of instances that find that it fails more calls than others do, in halves of a doubt
	Pace        int           // duration relative to the usual one, in tenths, by its last report; 0: not polled
}

// Add returns the combined load of two instances. Prefill times are combined by their maximum:
// each instance already includes the prompts of the other when it predicts when an upstream will
// have prefilled its own. With the sum, upstreams that finished their parts long ago would seem
// busy until the last part of the same prompt is prefilled.
func (l Load) Add(other Load) Load {
	return Load{
		Streams:     l.Streams + other.Streams,
		Tight:       l.Tight + other.Tight,
		Late:        l.Late + other.Late,
		PrefillTime: max(l.PrefillTime, other.PrefillTime),
		Held:        l.Held + other.Held,
		Leading:     l.Leading + other.Leading,
		Helping:     l.Helping + other.Helping,
		Suspicions:  l.Suspicions + other.Suspicions,
		Failing:     l.Failing + other.Failing,
		Doubts:      l.Doubts + other.Doubts,
		Pace:        max(l.Pace, other.Pace),
	}
}

// After returns the load after some time has passed without a new report.
func (l Load) After(passed time.Duration) Load {
	l.PrefillTime = max(0, l.PrefillTime-passed)
	return l
}

// prefillTolerance is the difference in prefill time that is not worth a report: that of a
// chunk, which an upstream doesn't interrupt.
const prefillTolerance = 20 * time.Millisecond

// approxEqual reports whether two loads are equivalent for the placement of calls.
func (l Load) approxEqual(other Load) bool {
	difference := (l.PrefillTime - other.PrefillTime).Abs()
	l.PrefillTime, other.PrefillTime = 0, 0
	return l == other && difference <= prefillTolerance
}
