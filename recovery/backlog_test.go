package recovery

import (
	"testing"
	"time"
)

func TestRefusedCallersReturnOverTheBacklog(t *testing.T) {
	// Guards against callers that are refused at one moment and all return within the same
	// 200 ms, while the engines need 2 s for what they have accepted.
	const callers, backlog = 100, 2 * time.Second
	inWindow := map[time.Duration]int{}
	for i := range callers {
		back := RetryAfter(100*time.Millisecond, backlog, 9*time.Second, (float64(i)+0.5)/callers)
		inWindow[back/minRetrySpread]++
	}
	for window, count := range inWindow {
		if count > 2*callers/int(backlog/minRetrySpread) {
			t.Errorf("%d of %d callers return in the window %d of 200 ms", count, callers, window)
		}
	}
	if back := RetryAfter(time.Second, time.Minute, 3*time.Second, 0.9); back != time.Second {
		t.Errorf("a caller with 3 s left is asked to return after %s", back)
	}
	if back := RetryAfter(time.Second, time.Minute, -time.Second, 0.9); back != 0 {
		t.Errorf("a caller without time left is asked to return after %s", back)
	}
}

func TestShortPromptsHaveTheirTurnFirst(t *testing.T) {
	// Guards against a long wait of calls with short objectives, and against a longer prompt that
	// is placed before a shorter one of the same route.
	const objective = 320 * time.Millisecond
	before := time.Duration(-1)
	for prefill := time.Duration(0); prefill < 20*time.Millisecond; prefill += 4 * time.Millisecond {
		turn := Turn(prefill, objective)
		if turn <= before || turn > objective/turnFraction {
			t.Errorf("a prompt of %s waits %s, a shorter one %s", prefill, turn, before)
		}
		before = turn
	}
	if turn := Turn(time.Minute, objective); turn != 20*time.Millisecond {
		t.Errorf("the longest wait is %s, want 20ms", turn)
	}
}
