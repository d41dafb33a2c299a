package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/event"
)

const (
	drainMargin  = time.Second // for address lists that were still being delivered
	pollInterval = 20 * time.Millisecond
	// cancelGrace is how long a shutdown waits for unconfirmed cancels. A dead engine
	// confirms none. Whatever an engine still holds for this instance is freed by the
	// sweepers of the other instances once this one is gone.
	cancelGrace = 3 * time.Second
)

// ErrCutOff is returned by Shutdown if its deadline passed with requests in flight.
var ErrCutOff = errors.New("requests were cut off by the bound of the shutdown")

// Shutdown stops the server without cutting off requests. Callers keep their list of
// addresses for keep_seconds, so the instance first removes itself from the lists and
// keeps accepting requests until every list that contains it has expired. Then it
// refuses new requests, finishes those in flight, and closes once the callers' hosts
// have acknowledged their answers. ctx limits the whole shutdown.
func (s *Server) Shutdown(ctx context.Context) error {
	if deadline, bounded := ctx.Deadline(); bounded {
		s.bound.Store(&shutdownBound{began: s.options.Clock.Now(), limit: time.Until(deadline)})
	}
	s.draining.set(phaseDelisted)
	keep := time.Duration(keepSeconds(s.options.Plane.View()))*time.Second + drainMargin
	eventDraining.Log(s.options.Log, event.Fields{"accept_for": keep.String(), "in_flight": s.InFlight()})
	if err := s.options.Plane.Drain(ctx); err != nil {
		eventDrainNotAnnounced.Log(s.options.Log, event.Fields{"error": err.Error()})
	}
	sleep(ctx, keep)
	s.draining.set(phaseRefusing)
	cutOff := s.finishAll(ctx)
	err := s.close(ctx)
	unacknowledged := s.held.await(ctx)
	eventStopped.Log(s.options.Log, event.Fields{"cut_off": cutOff, "unacknowledged": unacknowledged})
	if cutOff > 0 {
		return errors.Wrapf(ErrCutOff, "%d", cutOff)
	}
	return err
}

// InFlight returns the number of requests without a final answer.
func (s *Server) InFlight() int { return s.driver.inFlight() }

// finishAll waits until no request is in flight, and then up to cancelGrace until all
// cancels are confirmed. It returns the number of requests that were cut off because
// ctx ended.
func (s *Server) finishAll(ctx context.Context) int {
	awaitZero(ctx, s.InFlight)
	confirmCtx, stop := context.WithTimeout(ctx, cancelGrace)
	defer stop()
	awaitZero(confirmCtx, s.sender.canceller.unconfirmed)
	return s.InFlight()
}

// awaitZero waits until count returns 0 or ctx ends.
func awaitZero(ctx context.Context, count func() int) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for count() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// close closes the listener, waits until the last answers are written, and stops the
// background goroutines.
func (s *Server) close(ctx context.Context) error {
	err := s.http.ShutdownWithContext(ctx)
	s.sender.canceller.discardPending()
	s.disconnects.close()
	s.sweeper.close()
	s.driver.close()
	s.pools.release()
	return errors.Wrap(err, "close the traffic address")
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
