package accounting

import (
	"context"
	"time"

	"celeryport/clock"
	"celeryport/failover"
)

// lastCopyRetry is the pause between two tries of the last copy.
const lastCopyRetry = 200 * time.Millisecond

// FlushLast copies to all voters until one of them has all counters, for the last copy of an account. Voters that
// are silent for a moment may all miss a single one. It gives up when a copy fails that began later than
// failover.MaxSoundSilence.
func (c *Copier) FlushLast(ctx context.Context) (stored bool) {
	if len(c.voters()) == 0 {
		return false
	}
	until := c.opts.Clock.Now().Add(failover.MaxSoundSilence)
	for {
		last := c.opts.Clock.Now().After(until)
		if c.Flush(ctx) > 0 {
			return true
		}
		if last || !clock.Pause(ctx, lastCopyRetry) {
			return false
		}
	}
}
