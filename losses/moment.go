package losses

import (
	"slices"
	"time"

	"celeryport/explain"
)

// Moment is the condition of the fleet when a call arrived.
type Moment string

// The moments. The first one that matches applies.
const (
	MassRestart  Moment = "all lost"      // at least half of the instances restart
	InstanceLost Moment = "instance lost" // an instance restarts
	EngineLost   Moment = "engine lost"   // an upstream stopped responding, was replaced or is leaving
	MixChange    Moment = "turn of mix"   // the work of long prompts changed a lot
	Burst        Moment = "burst"         // much more work than the median
	Calm         Moment = "calm"
)

// Moments returns all moments in the order of the tables.
func Moments() []Moment {
	return []Moment{MassRestart, InstanceLost, EngineLost, MixChange, Burst, Calm}
}

const (
	eventServing     = 1100
	eventLeaves      = 3029
	eventSuspected   = 7007
	eventMisdirected = 7008
	restartWindow    = 2 * time.Second // an instance is down before its restart is logged, and others may still be restarting after it
	engineWindow     = 2 * time.Second // time before and after the event in which calls of the upstream are affected
	mixChangeWindow  = 4 * time.Second // time in which streams of the previous mix end
	mixChangeFactor  = 2.5             // minimum ratio between the work of long prompts in two spans
	burstFactor      = 1.4             // minimum ratio to the median work of a span
	workSpan         = 2 * time.Second // interval over which work is summed
	longPrompt       = 16_000          // minimum tokens of a long prompt
	massRestartShare = 0.5             // minimum share of the instances that restart within restartWindow
	minMixChange     = 0.1             // share of the median work; smaller changes of the mix are noise
)

// timeline records the incidents and the work over time.
type timeline struct {
	begin     time.Time
	restarts  []time.Time // restarts of instances
	instances int
	engines   []time.Time
	work      []float64 // value of the calls that arrived in each workSpan
	long      []float64 // part of work that is due to long prompts
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
		t.addEvent(&lines[i], seen)
	}
	t.instances = len(seen)
	for i := range calls {
		t.addCall(&calls[i])
	}
	sorted := slices.Sorted(slices.Values(t.work))
	t.median = sorted[len(sorted)/2]
	return t
}

func (t *timeline) addEvent(l *explain.Line, seen map[string]bool) {
	switch l.Event {
	case eventServing:
		if seen[l.Instance] {
			t.restarts = append(t.restarts, l.At)
		}
		seen[l.Instance] = true
	case eventLeaves, eventSuspected, eventMisdirected:
		t.engines = append(t.engines, l.At)
	}
}

func (t *timeline) addCall(c *call) {
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

// at returns the moment at a time.
func (t *timeline) at(now time.Time) Moment {
	nearbyRestarts := countAround(t.restarts, now, restartWindow)
	switch {
	case t.instances > 0 && float64(nearbyRestarts) >= massRestartShare*float64(t.instances):
		return MassRestart
	case nearbyRestarts > 0:
		return InstanceLost
	case countAround(t.engines, now, engineWindow) > 0:
		return EngineLost
	case t.mixChanged(now):
		return MixChange
	case t.work[int(now.Sub(t.begin)/workSpan)] > burstFactor*t.median:
		return Burst
	}
	return Calm
}

// mixChanged reports whether the work of long prompts changed by more than
// mixChangeFactor within mixChangeWindow before now.
func (t *timeline) mixChanged(now time.Time) bool {
	at := int(now.Sub(t.begin) / workSpan)
	for before := max(0, at-int(mixChangeWindow/workSpan)); before < at; before++ {
		small, large := min(t.long[before], t.long[at]), max(t.long[before], t.long[at])
		if large > minMixChange*t.median && large > mixChangeFactor*small {
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
