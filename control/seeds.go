package control

import (
	"context"
	"time"

	"celeryport/event"
	"celeryport/settings"
)

// SetSeeds replaces the addresses that this instance asks when none of the known voters
// answers. The settings of a process may change them while it runs.
func (n *Node) SetSeeds(ctx context.Context, seeds []settings.Member) error {
	return n.post(ctx, func(time.Time) {
		n.core.seeds = seeds
		eventSeedsChanged.Log(n.log, event.Fields{"seeds": seeds})
	})
}
