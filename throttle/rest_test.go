package throttle

import (
	"testing"
	"time"
)

// Guards against an upstream that a wrong value takes out of service for good.
func TestRestIsBounded(t *testing.T) {
	for _, wanted := range []time.Duration{MostRest + time.Second, 1 << 62} {
		var r Rest
		if kept := r.Asked(start, wanted, 0.999); kept > MostRest+mostRestSpread || !r.Holds(start.Add(MostRest-1)) {
			t.Errorf("of %s %s are kept", wanted, kept)
		}
	}
}

// Guards against a rest that a later, shorter wish or an answer to an older request ends early.
func TestRestLastsUntilTheLastEndThatWasAsked(t *testing.T) {
	var r Rest
	if r.Holds(start) || r.Unsure(start) {
		t.Error("an upstream that asked for nothing rests")
	}
	r.Asked(start, 3*time.Second, 0)
	r.Asked(start.Add(time.Second), time.Second, 0)
	if r.Accepted(start.Add(-time.Second)) || !r.Holds(start.Add(3*time.Second-1)) {
		t.Error("it ended early")
	}
	end := start.Add(3 * time.Second)
	if r.Holds(end) || !r.Unsure(end) {
		t.Error("after its end it is not to be tried")
	}
	if r.Accepted(end.Add(-1)) || !r.Unsure(end) {
		t.Error("a request of before its end says that it accepts requests")
	}
	if !r.Accepted(end) || r.Unsure(end) || r.Accepted(end) {
		t.Error("a request of after its end does not clear it once")
	}
}

// Guards against instances that come back to an upstream at the same moment.
func TestRestsEndAtDifferentTimes(t *testing.T) {
	for wanted, spread := range map[time.Duration]time.Duration{time.Second: 250 * time.Millisecond, time.Minute: time.Second} {
		var first, last Rest
		first.Asked(start, wanted, 0)
		last.Asked(start, wanted, 1)
		if got := last.Until().Sub(first.Until()); got != spread || first.Until().Sub(start) != wanted {
			t.Errorf("the ends of %s differ by %s, want %s", wanted, got, spread)
		}
	}
}
