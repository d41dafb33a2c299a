package standin

import (
	"context"
	"time"

	"celeryport/standin/enginemodel"
)

// minPause is the minimum time between two steps of the scheduler. With a fast
// time scale it would otherwise run for every token.
const minPause = 2 * time.Millisecond

// idlePause is the time until the next step when nothing is due.
const idlePause = time.Minute

// run advances the model until ctx ends, and then ends all streams.
func (s *scheduler) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			s.stop()
			return
		case <-timer.C:
		case <-s.wake:
		}
		timer.Reset(s.advance(time.Now()))
	}
}

// advance brings the model to the time now and returns the time until the next step.
func (s *scheduler) advance(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, event := range s.model.Advance(s.scale.model(now)) {
		s.applyEvent(event)
	}
	pause := idlePause
	if next := s.model.Next(); !next.IsZero() {
		pause = s.scale.real(next).Sub(now)
	}
	return max(minPause, min(pause, s.expire(now)))
}

// applyEvent applies an event of the model to its stream.
func (s *scheduler) applyEvent(event enginemodel.Event) {
	st := s.jobs[event.ID]
	if st == nil {
		return
	}
	st.ready = event.Offset
	st.cached = event.Cached
	if event.Kind == enginemodel.Finished {
		st.finished = true
		delete(s.jobs, event.ID)
	}
	st.broadcast()
}

// expire ends the streams that have had no reader for the resume window or whose
// deadline has passed, and returns the time until the next stream is due. An instance
// that crashed never cancels its work, so without this the memory of that work would
// stay in use.
func (s *scheduler) expire(now time.Time) time.Duration {
	next := idlePause
	at := s.scale.model(now)
	for _, st := range s.streams {
		due, how := st.due(s.resumeWindow)
		if due.IsZero() {
			continue
		}
		if due.After(now) {
			next = min(next, due.Sub(now))
			continue
		}
		s.model.Cancel(at, st.job)
		s.end(st, how)
	}
	return next
}

// due returns when the stream has to be ended, and for which reason. The zero time
// means never.
func (st *stream) due(window time.Duration) (time.Time, Ending) {
	due, how := st.deadline, EndedDeadline
	if st.unreadSince.IsZero() {
		return due, how
	}
	if unread := st.unreadSince.Add(window); due.IsZero() || unread.Before(due) {
		return unread, EndedUnread
	}
	return due, how
}

// stop ends all streams.
func (s *scheduler) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.streams {
		s.end(st, EndedStopped)
	}
}
