package accounting

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"celeryport/rpc"
)

// One voter does not answer copies. If that delayed the copies to the other voters,
// several seconds of requests would be missing from reports after the instance is
// killed.
func TestUnresponsiveVoterDoesNotDelayCopiesToOthers(t *testing.T) {
	f := newFleetOf(t, 2, 1)
	synctest.Test(t, func(t *testing.T) {
		rounds := map[time.Time]bool{}
		entry := f.instances[2]
		entry.copier.send = func(ctx context.Context, address string, _ []byte) (*rpc.LedgerResponse, error) {
			if address == f.instances[0].address() {
				<-ctx.Done()
				return nil, errConnectionLost
			}
			rounds[time.Now()] = true
			return &rpc.LedgerResponse{}, nil
		}
		const ticks = 10
		ctx, cancel := context.WithTimeout(t.Context(), ticks*DefaultInterval+time.Millisecond)
		defer cancel()
		entry.copier.Run(ctx)
		if len(rounds) != ticks {
			t.Errorf("the other voter was sent copies in %d of %d rounds", len(rounds), ticks)
		}
	})
}
