package forward

import (
	"testing"
	"time"
)

func TestReturningCallersAreRecognised(t *testing.T) {
	// A caller was turned away and comes back five seconds later. Taken for a new one,
	// its prompt waits as if it could still be in time, before others that can.
	p := newPatience()
	if age := p.age("long", 15*time.Second); age != 0 {
		t.Errorf("the first call is %s old", age)
	}
	if age := p.age("long", 14950*time.Millisecond); age != 0 {
		t.Errorf("a call that took 50 ms on the way is %s old", age)
	}
	if age := p.age("long", 10*time.Second); age != 5*time.Second {
		t.Errorf("a call that comes back is %s old, want 5 s", age)
	}
	if age := p.age("short", 10*time.Second); age != 0 {
		t.Errorf("the first call of another route is %s old", age)
	}
}
