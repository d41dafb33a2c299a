package forward

import (
	"testing"
	"time"
)

// Streams of one engine stall for a second, and an operator looks for the prompt that was read
// there at that moment. A log line with the length of the pause but not its start would match
// any of several prompts.
func TestLogContainsStartOfLongestPause(t *testing.T) {
	x := &exchange{server: &Server{}, call: &Call{ID: "c"}, began: time.Now().Add(-time.Second)}
	x.events, x.firstAt = 2, x.began.Add(100*time.Millisecond)
	x.eventAt = x.began.Add(200 * time.Millisecond)
	x.recordPause()
	x.recordPause() // a shorter pause changes nothing
	fields := x.fields(nil)
	if fields["paused_at_ms"] != int64(200) {
		t.Errorf("the logged pause began at %v ms, want 200", fields["paused_at_ms"])
	}
}
