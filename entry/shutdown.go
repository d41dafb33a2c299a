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
	// cancelGrace is how long a shutdown still tries to confirm cancels. An engine
	// that has died confirms none; what it or a live one still holds is swept by
	// the other instances, since this one is gone then.
	cancelGrace = 3 * time.Second
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

// finishAll waits until nothing is in flight, and for a while until no cancel is
// unconfirmed. It returns the number of requests that ctx cut off.
func (s *Server) finishAll(ctx context.Context) int {
	awaitNone(ctx, s.InFlight)
	confirming, stop := context.WithTimeout(ctx, cancelGrace)
	defer stop()
	awaitNone(confirming, s.sender.canceller.left)
	return s.InFlight()
}

// awaitNone waits until count is 0 or ctx ends.
func awaitNone(ctx context.Context, count func() int) {
	ticker := time.NewTicker(idleInterval)
	defer ticker.Stop()
	for count() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// close closes the listener and waits until the last answers are written.
func (s *Server) close(ctx context.Context) error {
	err := s.http.ShutdownWithContext(ctx)
	s.sender.canceller.abandon()
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
