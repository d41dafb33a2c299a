package forward

import (
	"testing"
	"time"
)

// Streams of one engine stand still for a second, and an operator looks for the prompt
// that was read there at that moment. A log line that has the length of the pause but
// not its time matches any of them.
func TestLogsTellWhenTheLongestPauseBegan(t *testing.T) {
	x := &exchange{server: &Server{}, call: &Call{ID: "c"}, began: time.Now().Add(-time.Second)}
	x.events, x.firstAt = 2, x.began.Add(100*time.Millisecond)
	x.eventAt = x.began.Add(200 * time.Millisecond)
	x.notePause()
	x.notePause() // a short one changes nothing
	fields := x.fields(nil)
	if fields["paused_at_ms"] != int64(200) {
		t.Errorf("the pause began at %v ms, was 200", fields["paused_at_ms"])
	}
}
