package endings

import (
	"math"
	"testing"
	"time"

	"celeryport/loadshare"
)

var start = time.Unix(1000, 0)

// observed returns a history of 20 engines that has been observed for a while.
func observed() *History {
	h := NewHistory()
	h.Observe(start.Add(-time.Second), make([]time.Duration, 20))
	return h
}

func expectRate(t *testing.T, h *History, now time.Time, want float64) {
	t.Helper()
	if rate := h.Rate(now); math.Abs(rate-want) > 1e-9 {
		t.Errorf("rate %v, want %v", rate, want)
	}
}

// Guards against counting one termination several times, keeping it for too long, dividing by the
// engines that are left after a burst, and estimating from old observations.
func TestRateCountsEachRecentTerminationOnce(t *testing.T) {
	h := observed()
	for at := range 6 {
		now := start.Add(time.Duration(at) * time.Second)
		for key := range loadshare.Key(10) {
			h.Record(now, key) // listed as leaving all the time
		}
		h.Observe(now, make([]time.Duration, 10))
	}
	expectRate(t, h, start.Add(6*time.Second), 0.05)
	h.Record(start.Add(Window), 3)
	h.Observe(start.Add(Window), make([]time.Duration, 20))
	expectRate(t, h, start.Add(Window), 0)
	h.Record(start.Add(Window+time.Second), 99)
	expectRate(t, h, start.Add(3*Window), 0)
}

// Guards against taking an engine for terminated that could not be reached for a moment, and
// against withdrawing a termination that is certain.
func TestOnlySuspicionsAreWithdrawn(t *testing.T) {
	h := observed()
	h.Suspect(start, 1)
	h.Suspect(start, 2)
	h.Record(start, 2)
	h.Suspect(start, 2)
	h.Clear(1)
	h.Clear(2)
	expectRate(t, h, start, 0.005)
}

// Guards against taking the leaves of a long time for a burst, when an instance that has started
// or was suspended learns of them all at once.
func TestTerminationsOfUnobservedTimeDoNotCount(t *testing.T) {
	for _, h := range []*History{NewHistory(), observed()} {
		now := start.Add(maxGap + time.Second)
		h.Record(now, 1)
		h.Observe(now, make([]time.Duration, 20))
		expectRate(t, h, now, 0)
		h.Record(now.Add(time.Second), 2)
		expectRate(t, h, now.Add(time.Second), 0.005)
	}
}

// Guards against taking a sixth of the engines for overdue because their announcements are relayed,
// and against waiting for an engine for ever because all announcements are old.
func TestDelayFollowsTheUsualAgeOfAnnouncements(t *testing.T) {
	for age, want := range map[time.Duration]time.Duration{500 * time.Millisecond: 0, 1300 * time.Millisecond: 700 * time.Millisecond, time.Minute: maxDelay} {
		h := NewHistory()
		h.Observe(start, []time.Duration{age, time.Hour, 0})
		if got := h.Delay(start); got != want {
			t.Errorf("a delay of %s at a median age of %s, want %s", got, age, want)
		}
	}
}

// Guards against helpers that are about to terminate, and against leaving out stable ones.
func TestFrailEngines(t *testing.T) {
	for name, c := range map[string]struct {
		condition Condition
		want      bool
	}{
		"leaving":    {Condition{Leaving: true}, true},
		"suspected":  {Condition{Suspected: true}, true},
		"doubted":    {Condition{DoubtedAt: start, LastSignAt: start}, true},
		"cut off":    {Condition{DoubtedAt: start.Add(-1), LastSignAt: start}, false}, // from the instance that doubts it
		"cold":       {Condition{Cold: true}, true},
		"overdue":    {Condition{LastSignAt: start.Add(-overdueAfter - 1)}, true},
		"relayed":    {Condition{LastSignAt: start.Add(-overdueAfter - 1), Delay: 1}, false},
		"started":    {Condition{StartedAt: start.Add(-minUptime + 1)}, true},
		"warming up": {Condition{StartedAt: start.Add(-5 * time.Second), ColdTime: 6 * time.Second}, true},
		"stable":     {Condition{LastSignAt: start.Add(-overdueAfter), StartedAt: start.Add(-minUptime)}, false},
		"unknown":    {Condition{}, false},
	} {
		if got := c.condition.Frail(start); got != c.want {
			t.Errorf("%s: frail %t", name, got)
		}
	}
}
