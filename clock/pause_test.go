package clock

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a wait that continues after its context has ended.
func TestPauseEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		if !Pause(ctx, 400*time.Millisecond) || time.Since(began) != 400*time.Millisecond {
			t.Errorf("a pause of 400 ms ended after %s", time.Since(began))
		}
		if Pause(ctx, time.Hour) || time.Since(began) != time.Second {
			t.Errorf("a pause ended %s after its context", time.Since(began)-time.Second)
		}
	})
}
