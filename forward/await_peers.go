package forward

import (
	"context"
	"time"

	"celeryport/clock"
	"celeryport/membership"
	"celeryport/resend"
	"celeryport/transit"
)

// awaitSilentPeer waits while none of the other instances replies and one of them may serve the call, for as long as a
// sound one may be silent. It returns one that serves it and was not tried, nil if there is none.
func (x *exchange) awaitSilentPeer(ctx context.Context, since time.Time, tried []string) *membership.Instance {
	s, bound := x.server, resend.Silence{Deadline: x.deadline, Since: since}
	for time.Now().Before(bound.Until()) && s.fleet.paths.Lost(x.service.Name) {
		found, known := s.others(x.service.Name)
		switch {
		case known && found.Others == transit.OthersServe:
			return s.fleet.transits.Choose(s.options.Plane.View().Instances, found.By, tried, s.draw())
		case known && !found.MayServe():
			return nil
		case known:
			bound.Since = earlier(bound.Since, found.SilentSince)
		}
		if !clock.Pause(ctx, contactPollInterval) {
			return nil
		}
	}
	return nil
}
