package forward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/clock"
	"celeryport/endcheck"
	"celeryport/event"
	"celeryport/failover"
	"celeryport/httpwire"
)

// verifyEnd returns an error if an answer that ended with its connection may have been broken off.
func (s *sending) verifyEnd(ctx context.Context, head *httpwire.ResponseHead) error {
	if head.Body.Kind != httpwire.UntilClose {
		return nil
	}
	check := endcheck.Check{EndedAt: time.Now(), Patience: failover.MaxSoundSilence, Deadline: s.x.deadline}
	ctx, cancel := context.WithDeadline(ctx, s.x.deadline)
	defer cancel()
	for {
		observed := s.x.server.fleet.observeEnd(ctx, s.node, s.x.service)
		switch conclusion := check.Conclude(time.Now(), observed); {
		case conclusion == endcheck.Complete:
			s.recordEndCheck(check.EndedAt, observed, true)
			return nil
		case conclusion == endcheck.BrokenOff, !clock.Pause(ctx, recheckInterval):
			s.endedAt = check.EndedAt
			s.recordEndCheck(check.EndedAt, observed, false)
			if !observed.ShowsUpstream() {
				return errors.Mark(httpwire.ErrTruncated, errUncheckedEnd)
			}
			return httpwire.ErrTruncated
		}
	}
}

// recordEndCheck counts and logs the check of an answer that ended with its connection at a time.
func (s *sending) recordEndCheck(ended time.Time, observed endcheck.Observation, complete bool) {
	x := s.x
	x.server.options.Metrics.EndChecked(x.service.Name, observed.String())
	eventEndChecked.Log(x.server.options.Log, event.Fields{
		"call": x.call.ID, "route": x.route.Name, "upstream": s.node.name, "address": s.node.address, "observed": observed.String(),
		"complete": complete, "leaving": announcedLeaving(x.server.options.Plane.View().Upstreams, s.node.incarnationID),
		"events": x.events, "check_ms": time.Since(ended).Milliseconds(),
	})
}
