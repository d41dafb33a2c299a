package forward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/bytebudget"
	"celeryport/clock"
	"celeryport/verdict"
)

const (
	// bodiesRetry is the Retry-After while there is no memory for another body: callers read and
	// send most bodies within this time.
	bodiesRetry = 500 * time.Millisecond
	// roomInterval is how often an answer that waits for memory is tried again.
	roomInterval = 20 * time.Millisecond
)

var (
	errNoRoom     = errors.New("no memory for the body of the call")
	errBodiesFull = verdict.Refuse(verdict.ReasonQueueFull, bodiesRetry, "this instance holds as many bodies of calls as it may")
)

// reserveBody returns a function that reserves memory for the body of a call or fails with
// errNoRoom.
func reserveBody(held *bytebudget.Holding) func(n int64) error {
	return func(n int64) error {
		if !held.Grow(n) {
			return errNoRoom
		}
		return nil
	}
}

// awaitRoom returns a function that reserves memory for an answer and waits for it until ctx
// ends. The upstream has run the call, so its answer is not dropped; meanwhile it is not read,
// which makes the upstream wait.
func awaitRoom(ctx context.Context, held *bytebudget.Holding) func(n int64) error {
	return func(n int64) error {
		for !held.Grow(n) {
			if !clock.Pause(ctx, roomInterval) {
				return ctx.Err()
			}
		}
		return nil
	}
}
