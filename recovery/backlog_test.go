package recovery

import (
	"testing"
	"time"
)

func TestRefusedCallersReturnOverTheBacklog(t *testing.T) {
	// Guards against callers that are refused at one moment and all return within the same
	// 200 ms, while the engines need 2 s for what they have accepted.
	inWindow := map[time.Duration]int{}
	for i := range 100 {
		back := RetryAfter(100*time.Millisecond, 2*time.Second, 9*time.Second, float64(i)/100)
		if inWindow[back/minRetrySpread]++; inWindow[back/minRetrySpread] > 20 {
			t.Fatalf("more than 20 of 100 callers return within the same 200 ms, %s after", back)
		}
	}
	if back := RetryAfter(time.Second, time.Minute, 3*time.Second, 0.9); back != time.Second {
		t.Errorf("a caller with 3 s left is asked to return after %s", back)
	}
}
