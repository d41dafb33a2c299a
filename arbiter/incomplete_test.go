package arbiter

import (
	"testing"
	"time"
)

func TestArbiterWaitsForTheLoadsAfterItsStart(t *testing.T) {
	// Guards against an arbiter that has just started and places prompts as if the engines were
	// idle, and against one that waits for loads that never come.
	queue, w := NewQueue(), &fakeFleets{engines: 18, unknown: true}
	placedAfter := func(id string, began time.Time, knownAfter time.Duration) time.Duration {
		for passed := time.Duration(0); ; passed += 40 * time.Millisecond {
			queue.Accept(began.Add(passed), newRequest(id, 180_000)) // requesters repeat it
			w.unknown = passed < knownAfter
			if len(queue.Step(began.Add(passed), w)) > 0 || passed > time.Second {
				return passed
			}
		}
	}
	if passed := placedAfter("a", start, 100*time.Millisecond); passed != 120*time.Millisecond {
		t.Errorf("placed after %s, want 120ms: the first step after the loads are known", passed)
	}
	if passed := placedAfter("b", start.Add(time.Minute), time.Hour); passed != 320*time.Millisecond {
		t.Errorf("placed after %s without loads, want 320ms: the first step after the longest wait", passed)
	}
}
