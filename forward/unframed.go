package forward

import (
	"context"
	"sync"
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
		observed := s.observeEnd(ctx)
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

// observeEnd asks the upstream which incarnation it is, and the helpers that read parts of the prompt: an engine breaks
// its answer off in order if one of them ends.
func (s *sending) observeEnd(ctx context.Context) endcheck.Observation {
	asked := append([]*node{s.node}, s.work.helpers...)
	observed := make([]endcheck.Observation, len(asked))
	var wait sync.WaitGroup
	for i, n := range asked {
		wait.Go(func() { observed[i] = s.x.server.fleet.observeEnd(ctx, n, s.x.service) })
	}
	wait.Wait()
	return endcheck.Joint(observed)
}

// recordEndCheck counts and logs the check of an answer that ended with its connection at a time.
func (s *sending) recordEndCheck(ended time.Time, observed endcheck.Observation, complete bool) {
	x := s.x
	x.server.options.Metrics.EndChecked(x.service.Name, observed.String())
	fields := event.Fields{
		"call": x.call.ID, "route": x.route.Name, "upstream": s.node.name, "address": s.node.address, "observed": observed.String(),
		"complete": complete, "leaving": announcedLeaving(x.server.options.Plane.View().Upstreams, s.node.incarnationID),
		"events": x.events, "check_ms": time.Since(ended).Milliseconds(),
	}
	if by, failure := s.conn.conn.Failure(); failure != nil {
		fields["connection_error"], fields["met_by"] = failure.Error(), string(by)
	}
	eventEndChecked.Log(x.server.options.Log, fields)
}
