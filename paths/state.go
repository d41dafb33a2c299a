package paths

import (
	"context"
	"time"

	"celeryport/loadshare"
	"celeryport/reach"
)

// state is the state of the paths to the upstreams of one service.
type state struct {
	reach.Paths
	breaks     reach.Breaks
	latency    reach.Latency
	opening    map[*context.CancelCauseFunc]struct{} // connections that are being opened
	probed     map[loadshare.Key]bool                // upstreams to which a probing connection is being opened
	answeredAt time.Time                             // when an upstream last sent an answer
	verifying  bool                                  // an upstream that accepted a connection is asked for an answer
	restoring  bool                                  // the paths are back, but failures have not been cleared yet
	changed    chan struct{}                         // closed at the next change
}

func newState() *state {
	return &state{opening: map[*context.CancelCauseFunc]struct{}{}, probed: map[loadshare.Key]bool{}, changed: make(chan struct{})}
}

func (s *state) unverified(since time.Time) bool {
	return !s.verifying && !s.Lost() && s.answeredAt.Before(since)
}

// recordAnswer records that an upstream has sent an answer.
func (s *state) recordAnswer(now time.Time) {
	s.answeredAt = now
	if s.breaks.Answered() {
		s.notify()
	}
}

// notify wakes those that wait for a change.
func (s *state) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
