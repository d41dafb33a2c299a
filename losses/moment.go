package losses

import (
	"slices"
	"time"

	"celeryport/explain"
)

// Moment is what went on when a call came.
type Moment string

// The moments. A call belongs to the first that fits.
const (
	AllLost      Moment = "all lost"      // half of the instances or more start again
	InstanceLost Moment = "instance lost" // an instance starts again
	EngineLost   Moment = "engine lost"   // an upstream stopped answering, was replaced or leaves
	Turn         Moment = "turn of mix"   // long prompts became much more or much less of the work
	Burst        Moment = "burst"         // much more work than usual
	Calm         Moment = "calm"
)

// Moments lists all moments in the order of the tables.
func Moments() []Moment { return []Moment{AllLost, InstanceLost, EngineLost, Turn, Burst, Calm} }

const (
	eventServing    = 1100
	eventLeaves     = 3029
	eventSuspected  = 7007
	eventMisplaced  = 7008
	lossAround      = 2 * time.Second // before a new start is logged its instance was gone, and after it others come back
	engineAround    = 2 * time.Second // in which calls of the upstream end elsewhere
	turnAround      = 4 * time.Second // the streams of the former mix end within this
	turnFactor      = 2.5             // between the work of long prompts of two spans
	burstFactor     = 1.4             // above the median of a second's work
	workSpan        = 2 * time.Second // over which work is compared
	longPrompt      = 16_000          // tokens from which on a prompt is long here
	massiveShare    = 0.5             // of the instances that start at one time
	meaningfulShare = 0.1             // of the median work; below it a change of the mix is chance
)

// timeline tells what went on at a time.
type timeline struct {
	begin     time.Time
	starts    []time.Time // of instances that had run before
	instances int
	engines   []time.Time
	work      []float64 // tokens a span
	long      []float64 // of these, of long prompts
	median    float64
}

func newTimeline(lines []explain.Line, calls []call) *timeline {
	t := &timeline{}
	if len(calls) == 0 {
		return t
	}
	t.begin = slices.MinFunc(calls, func(a, b call) int { return a.arrived.Compare(b.arrived) }).arrived
	seen := map[string]bool{}
	for i := range lines {
		t.note(&lines[i], seen)
	}
	t.instances = len(seen)
	for i := range calls {
		t.count(&calls[i])
	}
	sorted := slices.Sorted(slices.Values(t.work))
	t.median = sorted[len(sorted)/2]
	return t
}

func (t *timeline) note(l *explain.Line, seen map[string]bool) {
	switch l.Event {
	case eventServing:
		if seen[l.Instance] {
			t.starts = append(t.starts, l.At)
		}
		seen[l.Instance] = true
	case eventLeaves, eventSuspected, eventMisplaced:
		t.engines = append(t.engines, l.At)
	}
}

func (t *timeline) count(c *call) {
	at := int(c.arrived.Sub(t.begin) / workSpan)
	for len(t.work) <= at {
		t.work = append(t.work, 0)
		t.long = append(t.long, 0)
	}
	t.work[at] += c.value
	if c.prompt >= longPrompt {
		t.long[at] += c.value
	}
}

// at returns the moment of a time.
func (t *timeline) at(now time.Time) Moment {
	around := countAround(t.starts, now, lossAround)
	switch {
	case t.instances > 0 && float64(around) >= massiveShare*float64(t.instances):
		return AllLost
	case around > 0:
		return InstanceLost
	case countAround(t.engines, now, engineAround) > 0:
		return EngineLost
	case t.turns(now):
		return Turn
	case t.work[int(now.Sub(t.begin)/workSpan)] > burstFactor*t.median:
		return Burst
	}
	return Calm
}

// turns reports whether the work of long prompts changed within the time before.
func (t *timeline) turns(now time.Time) bool {
	at := int(now.Sub(t.begin) / workSpan)
	for before := max(0, at-int(turnAround/workSpan)); before < at; before++ {
		small, large := min(t.long[before], t.long[at]), max(t.long[before], t.long[at])
		if large > meaningfulShare*t.median && large > turnFactor*small {
			return true
		}
	}
	return false
}

func countAround(times []time.Time, now time.Time, span time.Duration) int {
	count := 0
	for _, at := range times {
		if at.Sub(now).Abs() <= span {
			count++
		}
	}
	return count
}
