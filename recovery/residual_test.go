package recovery

import (
	"testing"
	"time"

	"celeryport/loadshare"
)

var capacity = Capacity{Slots: 12, Tokens: 400_000, Usual: 2 * time.Second}

func TestResidualLoadIsWhatNoInstanceKnows(t *testing.T) {
	// Guards against calls sent to engines that still run calls of lost processes, against a
	// corrupt report that makes an idle engine look full, and against calls that are counted twice
	// because two instances report them.
	for name, c := range map[string]struct {
		state     *EngineState
		elsewhere bool // another instance reports for the engine
		want      loadshare.Load
	}{
		"lost calls":       {state: &EngineState{Active: 9, Queued: 2, Held: 100_000}, want: loadshare.Load{Streams: 6, Held: 70_000}},
		"elsewhere":        {state: &EngineState{Active: 11}, elsewhere: true},
		"none":             {},
		"negative":         {state: &EngineState{Active: -1, Queued: 9}},
		"too many":         {state: &EngineState{Active: 121}},
		"overflowing":      {state: &EngineState{Active: 5, Queued: 1 << 62}},
		"too much memory":  {state: &EngineState{Active: 9, Held: 400_001}},
		"fewer than known": {state: &EngineState{Active: 1}},
	} {
		var r Residual
		r.Record(start, &EngineState{Active: 12}, capacity, loadshare.Load{}, loadshare.Load{}, true, true)
		r.Record(start, c.state, capacity, loadshare.Load{Streams: 2, Held: 10_000}, loadshare.Load{Streams: 2, Helping: 1, Held: 20_000}, true, !c.elsewhere)
		if got, later := r.Confirmed(start), r.Confirmed(start.Add(capacity.Usual)); got != c.want || later != (loadshare.Load{}) {
			t.Errorf("%s: residual load %+v, after the mean response time %+v", name, got, later)
		}
	}
}

func TestUnreceivedReportsAreNotResidualLoad(t *testing.T) {
	// An instance that restarts alone sees calls of others that it does not know of. If it
	// reported them, all instances would count them twice.
	var r Residual
	r.Record(start, &EngineState{Active: 10}, capacity, loadshare.Load{}, loadshare.Load{}, false, true)
	if got := r.Confirmed(start); got != (loadshare.Load{}) {
		t.Errorf("reports %+v with an incomplete view", got)
	}
	if before, after := r.Unconfirmed(start, loadshare.Load{}).Streams, r.Unconfirmed(start, loadshare.Load{Streams: 9}).Streams; before != 10 || after != 0 {
		t.Errorf("counts %d streams itself, and %d beside 9 that the others report", before, after)
	}
}
