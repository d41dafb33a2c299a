package forward

import (
	"testing"
	"time"
)

func TestFailingNodesArePassedOverForAWhile(t *testing.T) {
	// An engine resets half of its calls although its health check is good. It is
	// never full, so that without a record of its failures it would draw most calls. A
	// service that fails one call in seven by nature must not be passed over.
	now := time.Unix(1_700_000_000, 0)
	var grey, natural record
	for i := range 70 {
		now = now.Add(50 * time.Millisecond)
		grey.note(now, i%2 == 0 || i%3 == 0)
		natural.note(now, i%7 == 0)
		if natural.failed(now) > mostFailed {
			t.Fatalf("a natural share of failures counts as %.2f", natural.failed(now))
		}
	}
	if grey.failed(now) < mostFailed {
		t.Errorf("the failing engine counts as %.2f", grey.failed(now))
	}
	if later := now.Add(2 * fadeHalf); grey.failed(later) > mostFailed {
		t.Errorf("it is still passed over after %s", 2*fadeHalf)
	}
}
