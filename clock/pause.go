package clock

import (
	"context"
	"time"
)

// Pause waits and reports whether the time passed before the context ended.
func Pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
