package recovery

import (
	"testing"
	"time"

	"celeryport/loadshare"
)

var capacity = Capacity{Slots: 12, Tokens: 400_000, Usual: 2 * time.Second}

func TestResidualLoadIsWhatNoInstanceKnows(t *testing.T) {
	// Guards against calls sent to engines that still run the calls of lost processes.
	var r Residual
	own, others := loadshare.Load{Streams: 2, Held: 10_000}, loadshare.Load{Streams: 3, Held: 20_000}
	r.Record(start, &EngineState{Active: 9, Queued: 2, Held: 100_000}, capacity, own, others, true, true)
	if got := r.Confirmed(start); got != (loadshare.Load{Streams: 6, Held: 70_000}) {
		t.Errorf("residual load %+v, want 6 streams and 70,000 tokens", got)
	}
	if got := r.Confirmed(start.Add(capacity.Usual)); got != (loadshare.Load{}) {
		t.Errorf("after the mean response time: %+v", got)
	}
}

func TestUnreceivedReportsAreNotResidualLoad(t *testing.T) {
	// An instance that restarts alone sees calls of others that it has not heard of. If it
	// reported them, all instances would count them twice.
	var r Residual
	r.Record(start, &EngineState{Active: 10, Held: 90_000}, capacity, loadshare.Load{}, loadshare.Load{}, false, true)
	if got := r.Confirmed(start); got != (loadshare.Load{}) {
		t.Errorf("reports %+v with an incomplete view", got)
	}
	if got := r.Unconfirmed(start, loadshare.Load{}); got.Streams != 10 {
		t.Errorf("counts %+v itself, want 10 streams", got)
	}
	if got := r.Unconfirmed(start, loadshare.Load{Streams: 9, Held: 90_000}); got != (loadshare.Load{}) {
		t.Errorf("counts %+v beside the reports of the others", got)
	}
}

func TestUnusableReportsGiveNoResidualLoad(t *testing.T) {
	// Guards against a corrupt report that makes an idle engine look full, and against two
	// instances that report the same calls.
	for name, c := range map[string]struct {
		state    *EngineState
		reporter bool
	}{
		"none":               {reporter: true},
		"negative":           {state: &EngineState{Active: -1, Queued: 9}, reporter: true},
		"too many":           {state: &EngineState{Active: 121}, reporter: true},
		"overflowing":        {state: &EngineState{Active: 5, Queued: 1 << 62}, reporter: true},
		"too much memory":    {state: &EngineState{Active: 5, Held: 400_001}, reporter: true},
		"fewer than known":   {state: &EngineState{Active: 1}, reporter: true},
		"reported elsewhere": {state: &EngineState{Active: 9}},
	} {
		var r Residual
		r.Record(start, &EngineState{Active: 9}, capacity, loadshare.Load{}, loadshare.Load{}, true, true)
		r.Record(start, c.state, capacity, loadshare.Load{Streams: 3}, loadshare.Load{}, true, c.reporter)
		if got := r.Confirmed(start); got != (loadshare.Load{}) {
			t.Errorf("%s: residual load %+v", name, got)
		}
	}
}
