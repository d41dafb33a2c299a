package clock

import (
	"context"
	"time"
)

// Pause waits for d. It returns false if ctx ends earlier.
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
