package delivery

import (
	"testing"
	"time"
)

// Guards against connections that are closed while their callers may still receive the rest of an answer, kept although
// they can't, or checked without a pause.
func TestConnectionsAreHeldUntilTheirAnswersAreAcknowledged(t *testing.T) {
	for name, test := range map[string]struct {
		held Held
		want time.Duration
	}{
		"nothing outstanding":  {Held{}, 0},
		"just written":         {Held{Unacknowledged: 1}, minHoldCheck},
		"outstanding for long": {Held{Unacknowledged: 1, For: 20 * time.Second}, maxHoldCheck},
		"in between":           {Held{Unacknowledged: 1, For: 400 * time.Millisecond}, 50 * time.Millisecond},
		"connection failed":    {Held{Unacknowledged: 1, Gone: true}, 0},
		"no time left":         {Held{Unacknowledged: 1, Over: true}, 0},
		"for too long":         {Held{Unacknowledged: 1, For: Timeout}, 0},
		"for long, in a stop":  {Held{Unacknowledged: 1, For: Timeout, Stopping: true}, maxHoldCheck},
	} {
		if got := test.held.CheckAfter(); got != test.want {
			t.Errorf("%s: %s, want %s", name, got, test.want)
		}
	}
}
