package control

import (
	"context"
	"time"

	"celeryport/event"
	"celeryport/settings"
)

// SetSeeds replaces the addresses that this instance asks when it knows no voter
// that answers. The settings of a process may name others while it runs.
func (n *Node) SetSeeds(ctx context.Context, seeds []settings.Member) error {
	return n.post(ctx, func(time.Time) {
		n.core.seeds = seeds
		eventSeedsChanged.Log(n.log, event.Fields{"seeds": seeds})
	})
}
