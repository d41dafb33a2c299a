package loadshare

import "time"

// Load is the work that one instance, or all together, have under way at an
// upstream.
type Load struct {
	Streams    int           // calls that were sent and have not ended
	Tight      int           // of these, streams whose pauses must be short
	Late       int           // of these, streams that can't be in time any more
	Reading    time.Duration // until the prompts that were sent are read, from now
	Held       int           // tokens of KV memory
	Leading    int           // calls whose prompt it reads, alone or with helpers, and which have no event yet
	Helping    int           // parts that it reads for such calls of other upstreams
	Suspicions int           // instances that failed to reach it of late
	Failing    int           // instances whose last call there failed of late, although it was reached
	Pace       int           // how many times as long as usual it takes, in tenths, by its last report; 0: not polled
}

// Add returns the load of two instances together. Each of them counts the prompts
// of the other in when it predicts until when an upstream reads its own, so the
// later end holds. With the sum, upstreams that have read their parts long ago look
// busy until the last part of the same prompt is read.
func (l Load) Add(other Load) Load {
	return Load{
		Streams:    l.Streams + other.Streams,
		Tight:      l.Tight + other.Tight,
		Late:       l.Late + other.Late,
		Reading:    max(l.Reading, other.Reading),
		Held:       l.Held + other.Held,
		Leading:    l.Leading + other.Leading,
		Helping:    l.Helping + other.Helping,
		Suspicions: l.Suspicions + other.Suspicions,
		Failing:    l.Failing + other.Failing,
		Pace:       max(l.Pace, other.Pace),
	}
}

// After returns the load when some time has passed, as long as nothing new is reported.
func (l Load) After(passed time.Duration) Load {
	l.Reading = max(0, l.Reading-passed)
	return l
}

// nearlyReading is the difference in the reading that is not worth a report: a
// piece of a prompt, which an upstream doesn't interrupt.
const nearlyReading = 20 * time.Millisecond

// nearly reports whether two loads are the same to those who place calls.
func (l Load) nearly(other Load) bool {
	difference := (l.Reading - other.Reading).Abs()
	l.Reading, other.Reading = 0, 0
	return l == other && difference <= nearlyReading
}
