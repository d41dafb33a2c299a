package forward

import (
	"context"
	"time"

	"celeryport/clock"
	"celeryport/event"
	"celeryport/failover"
	"celeryport/httpwire"
)

// verifyEnd returns an error if an answer that ended with its connection may have been broken off: the
// kernel closes the connections of a crashed process like one that the process closes itself. A machine that
// takes no connection may only be silent, so that it is tried again.
func (s *sending) verifyEnd(ctx context.Context, head *httpwire.ResponseHead) error {
	if head.Body.Kind != httpwire.UntilClose {
		return nil
	}
	fleet, ended := s.x.server.fleet, time.Now()
	if announcedLeaving(fleet.options.Plane.View().Upstreams, s.node.incarnationID) {
		s.recordEndCheck(ended, "leaving", true)
		return nil // a planned stop completes its answers
	}
	clock.Pause(ctx, endCheckPause)
	for since := time.Now(); !fleet.reachable(ctx, s.node); {
		now := time.Now()
		contact := fleet.contactOf(now, s.node, since)
		known := now.Sub(since) >= failover.MaxSoundSilence || contact == failover.Ended
		if known || !now.Before(s.x.deadline) || !clock.Pause(ctx, recheckInterval) {
			s.recordEndCheck(ended, contact.String(), false)
			return httpwire.ErrTruncated
		}
	}
	s.recordEndCheck(ended, failover.Reachable.String(), true)
	return nil
}

// recordEndCheck counts and logs the check of an answer that ended with its connection at a time.
func (s *sending) recordEndCheck(ended time.Time, observed string, complete bool) {
	x := s.x
	x.server.options.Metrics.EndChecked(x.service.Name, observed)
	eventEndChecked.Log(x.server.options.Log, event.Fields{
		"call": x.call.ID, "route": x.route.Name, "upstream": s.node.name, "address": s.node.address, "observed": observed,
		"complete": complete, "leaving": announcedLeaving(x.server.options.Plane.View().Upstreams, s.node.incarnationID),
		"events": x.events, "check_ms": time.Since(ended).Milliseconds(),
	})
}
