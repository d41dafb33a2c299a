package accounting

import (
	"context"
	"time"

	"celeryport/event"
	"celeryport/ledger"
)

// The intervals at which a voter merges the counters of the other voters.
const (
	mergeRetryInterval = 10 * time.Second // after a merge that failed or lacked the answer of a voter
	mergeInterval      = time.Hour
)

// RunMerges merges the counters of the other voters into the store of this voter until
// the context ends: immediately, because this voter may have lost its disk, and then
// periodically, because it may have been unavailable while an instance ended. It
// returns at once on an instance without a store.
func (r *Reporter) RunMerges(ctx context.Context) {
	if r.opts.Store == nil {
		return
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		next := mergeRetryInterval
		if r.MergeStores(ctx) {
			next = mergeInterval
		}
		timer.Reset(next)
	}
}

// MergeStores merges the counters of all other voters once and reports whether every
// one of them answered and the result was stored.
func (r *Reporter) MergeStores(ctx context.Context) bool {
	var others []*ledger.State
	complete := true
	for address := range r.voters() {
		if address == r.opts.Address {
			continue
		}
		dump, err := r.ask(ctx, address)
		if err != nil || dump.Store == nil {
			complete = false
			continue
		}
		others = append(others, dump.Store)
	}
	if _, err := r.opts.Store.MergeStates(r.opts.Clock.Now(), others); err != nil {
		mergeFailed.Log(r.opts.Log, event.Fields{"error": err.Error()})
		return false
	}
	return complete
}
