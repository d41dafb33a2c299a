package accounting

import (
	"context"
	"time"

	"celeryport/event"
	"celeryport/ledger"
)

// The intervals at which a voter looks at the books of the others.
const (
	mergeRetryInterval = 10 * time.Second // until all have answered once
	mergeInterval      = time.Hour
)

// KeepBook joins this voter's book with those of the others until the context
// ends: at once, since it may have lost its disk, and from time to time, since it
// may have been away while an instance ended. Without a book it does nothing.
func (r *Reporter) KeepBook(ctx context.Context) {
	if r.opts.Book == nil {
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

// JoinBooks joins the books once, and reports whether every other voter answered.
func (r *Reporter) MergeStores(ctx context.Context) bool {
	var others []*ledger.State
	complete := true
	for address := range r.voters() {
		if address == r.opts.Address {
			continue
		}
		dump, err := r.ask(ctx, address)
		if err != nil || dump.Book == nil {
			complete = false
			continue
		}
		others = append(others, dump.Book)
	}
	if _, err := r.opts.Book.MergeStates(r.opts.Clock.Now(), others); err != nil {
		mergeFailed.Log(r.opts.Log, event.Fields{"error": err.Error()})
		return false
	}
	return complete
}
