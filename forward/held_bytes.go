package forward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/bytebudget"
	"celeryport/event"
	"celeryport/httpwire"
	"celeryport/verdict"
)

const (
	// bodiesRetry is the Retry-After while there is no memory for another body: callers read and
	// send most bodies within this time.
	bodiesRetry = 500 * time.Millisecond
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

// answerClaim returns the claim of an answer that is read as a whole on the memory for those.
func (s *Server) answerClaim(head *httpwire.ResponseHead) *bytebudget.Claim {
	most := int64(maxWholeAnswerBytes)
	if head.Body.Kind == httpwire.Sized {
		most = min(most, head.Body.Length)
	}
	return s.answers.Claim(most)
}

// awaitRoom returns a function that reserves memory for an answer and waits for it until ctx
// ends. The upstream has run the call, so its answer is not dropped; meanwhile it is not read,
// which makes the upstream wait.
func awaitRoom(ctx context.Context, held *bytebudget.Claim) func(n int64) error {
	return func(n int64) error { return held.Await(ctx, n) }
}

// longMemoryWait is a wait for memory that is logged.
const longMemoryWait = 100 * time.Millisecond

// awaitRoom returns what the function awaitRoom does, with waits counted and logged.
func (x *exchange) awaitRoom(ctx context.Context, held *bytebudget.Claim) func(n int64) error {
	await := awaitRoom(ctx, held)
	return func(n int64) error {
		began := time.Now()
		err := await(n)
		waited := time.Since(began)
		x.server.options.Metrics.MemoryWait.Add(waited.Seconds())
		if err != nil || waited >= longMemoryWait {
			eventMemoryAwaited.Log(x.server.options.Log, event.Fields{
				"call": x.call.ID, "route": x.route.Name, "service": x.service.Name, "bytes": n, "granted": err == nil,
				"waited_ms": waited.Milliseconds(), "free_bytes": x.server.answers.Free(),
			})
		}
		return err
	}
}
