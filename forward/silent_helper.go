package forward

import (
	"context"
	"slices"
	"time"

	"celeryport/loadshare"
)

// maxPlaceWithout bounds the wait for a place without the helpers that did not reply. A call that finds none
// by then waits for them.
const maxPlaceWithout = 300 * time.Millisecond

// nextSendWithout places the call without the helpers that did not reply, for a while only.
func (x *exchange) nextSendWithout(ctx context.Context) (*work, error) {
	if len(x.silent.Keys) == 0 || x.silent.Patience(time.Now()) <= maxPlaceWithout {
		return x.nextSend(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, maxPlaceWithout)
	defer cancel()
	return x.nextSend(ctx)
}

// readmitSilentHelpers lets a call that has no place without the helpers that did not reply use them again. It
// returns false if there are none that may go on.
func (x *exchange) readmitSilentHelpers() bool {
	x.patience = x.silent.Patience(time.Now())
	if len(x.silent.Keys) == 0 || x.patience == 0 {
		return false
	}
	again := func(key loadshare.Key) bool { return slices.Contains(x.silent.Keys, key) }
	x.refused, x.excluded = slices.DeleteFunc(x.refused, again), slices.DeleteFunc(x.excluded, again)
	x.silent.Keys = nil
	x.plans++ // the arbiter repeats its answer to an ask of the same name
	return true
}
