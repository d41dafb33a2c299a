package throttle

import (
	"testing"
	"time"
)

// Guards against an upstream that an erroneous value takes out of service
// permanently.
func TestRestIsBounded(t *testing.T) {
	for _, wanted := range []time.Duration{MaxRest + time.Second, 1 << 62} {
		var r Rest
		if duration := r.Start(start, wanted, 0.999); duration > MaxRest+maxRestSpread || !r.Active(start.Add(MaxRest-1)) {
			t.Errorf("a requested rest of %s became %s", wanted, duration)
		}
	}
}

// Guards against a rest that is ended early by a later, shorter request for
// rest or by an answer to an older request.
func TestRestIsNotEndedEarly(t *testing.T) {
	var r Rest
	if r.Active(start) || r.Untested(start) {
		t.Error("a rest is in effect although none was requested")
	}
	r.Start(start, 3*time.Second, 0)
	r.Start(start.Add(time.Second), time.Second, 0)
	if r.Accepted(start.Add(-time.Second)) || !r.Active(start.Add(3*time.Second-1)) {
		t.Error("the rest ended early")
	}
	end := start.Add(3 * time.Second)
	if r.Active(end) || !r.Untested(end) {
		t.Error("the upstream does not count as untested after the end of its rest")
	}
	if r.Accepted(end.Add(-1)) || !r.Untested(end) {
		t.Error("a request sent before the end of the rest cleared it")
	}
	if !r.Accepted(end) || r.Untested(end) || r.Accepted(end) {
		t.Error("a request sent after the end of the rest did not clear it exactly once")
	}
}

// Guards against instances that resume sending to an upstream at the same time.
func TestRestsEndAtDifferentTimes(t *testing.T) {
	for wanted, spread := range map[time.Duration]time.Duration{time.Second: 250 * time.Millisecond, time.Minute: time.Second} {
		var first, last Rest
		first.Start(start, wanted, 0)
		last.Start(start, wanted, 1)
		if got := last.Until().Sub(first.Until()); got != spread || first.Until().Sub(start) != wanted {
			t.Errorf("the ends of %s differ by %s, want %s", wanted, got, spread)
		}
	}
}
