package supervise

import (
	"testing"
	"time"
)

// Guards against an instance that ends for I/O that can be opened again, and against one that goes
// on without a component that it needs.
func TestOnlyNeededComponentsStopTheInstance(t *testing.T) {
	tests := []struct {
		name   string
		ending Ending
		want   Decision
	}{
		{"essential", Ending{Kind: Essential, Opened: true}, Decision{Step: StopInstance}},
		{"essential, while stopping", Ending{Kind: Essential, Opened: true, Stopping: true}, Decision{Step: Continue}},
		{"I/O, first end", Ending{Kind: Reopened, Opened: true}, Decision{Reopen, minPause}},
		{"I/O, ends again", Ending{Kind: Reopened, Opened: true, LastPause: minPause}, Decision{Reopen, 2 * minPause}},
		{"I/O, ends again and again", Ending{Kind: Reopened, Opened: true, LastPause: maxPause, Ran: time.Second}, Decision{Reopen, maxPause}},
		{"I/O, ends after a long time", Ending{Kind: Reopened, Opened: true, LastPause: maxPause, Ran: steadyRun}, Decision{Reopen, minPause}},
		{"address never usable", Ending{Kind: Reopened, Refused: true}, Decision{Step: StopInstance}},
		{"address never usable, while stopping", Ending{Kind: Reopened, Refused: true, Stopping: true}, Decision{Step: Continue}},
		{"address usable before", Ending{Kind: Reopened, Refused: true, Opened: true}, Decision{Reopen, minPause}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := Decide(test.ending); got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}
