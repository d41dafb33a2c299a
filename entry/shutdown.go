package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/event"
)

const (
	drainMargin  = time.Second // for lists that were handed out just before, on their way
	idleInterval = 20 * time.Millisecond
)

// ErrCutOff says that a shutdown reached its bound with requests in flight.
var ErrCutOff = errors.New("requests were cut off by the bound of the shutdown")

// Shutdown leaves without cutting off a request. Callers keep their list of
// addresses for keep_seconds, so the instance first stops being handed out and
// accepts until every list that names it has run out; then it refuses what
// comes, finishes what it has, and closes. ctx bounds the whole.
func (s *Server) Shutdown(ctx context.Context) error {
	s.draining.set(phaseLeaving)
	keep := time.Duration(keepSeconds(s.options.Plane.View()))*time.Second + drainMargin
	eventDraining.Log(s.options.Log, event.Fields{"accept_for": keep.String(), "in_flight": s.InFlight()})
	if err := s.options.Plane.Drain(ctx); err != nil {
		eventDrainUntold.Log(s.options.Log, event.Fields{"error": err.Error()})
	}
	waitFor(ctx, keep)
	s.draining.set(phaseRefusing)
	cut := s.finishAll(ctx)
	err := s.close(ctx)
	eventStopped.Log(s.options.Log, event.Fields{"cut_off": cut})
	if cut > 0 {
		return errors.Wrapf(ErrCutOff, "%d", cut)
	}
	return err
}

// InFlight is the number of requests without a final answer.
func (s *Server) InFlight() int { return s.driver.inFlight() }

// finishAll waits until nothing is in flight and no cancel is unconfirmed, and
// returns the number of requests that ctx cut off.
func (s *Server) finishAll(ctx context.Context) int {
	ticker := time.NewTicker(idleInterval)
	defer ticker.Stop()
	for s.InFlight() > 0 || s.sender.canceller.left() > 0 {
		select {
		case <-ctx.Done():
			return s.InFlight()
		case <-ticker.C:
		}
	}
	return 0
}

// close closes the listener and waits until the last answers are written.
func (s *Server) close(ctx context.Context) error {
	err := s.http.ShutdownWithContext(ctx)
	s.watch.close()
	s.sweeper.close()
	s.driver.close()
	s.pools.release()
	return errors.Wrap(err, "close the traffic address")
}

func waitFor(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
