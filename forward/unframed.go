package forward

import (
	"context"

	"celeryport/clock"
	"celeryport/httpwire"
)

// verifyEnd returns an error if an answer that ended with its connection may have been broken off: the
// kernel closes the connections of a crashed process like one that the process closes itself.
func (s *sending) verifyEnd(ctx context.Context, head *httpwire.ResponseHead) error {
	if head.Body.Kind != httpwire.UntilClose {
		return nil
	}
	fleet := s.x.server.fleet
	if announcedLeaving(fleet.options.Plane.View().Upstreams, s.node.incarnationID) {
		return nil // a planned stop completes its answers
	}
	clock.Pause(ctx, endCheckPause)
	if !fleet.reachable(ctx, s.node) {
		return httpwire.ErrTruncated
	}
	return nil
}
