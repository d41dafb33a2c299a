package standin

import (
	"context"
	"time"

	"celeryport/standin/enginemodel"
)

// leastPause bounds how often the scheduler wakes: a fast time scale would make
// it wake for every token.
const leastPause = 2 * time.Millisecond

// idlePause is the wait when nothing is due.
const idlePause = time.Minute

// run drives the model until ctx ends, and then ends every stream.
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

// advance brings the model to now and returns the time until it is due again.
func (s *scheduler) advance(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, event := range s.model.Advance(s.scale.model(now)) {
		s.deliver(event)
	}
	pause := idlePause
	if next := s.model.Next(); !next.IsZero() {
		pause = s.scale.real(next).Sub(now)
	}
	return max(leastPause, min(pause, s.expire(now)))
}

// deliver tells a stream what the model made.
func (s *scheduler) deliver(event enginemodel.Event) {
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

// expire ends streams that nobody reads or whose deadline passed, and returns
// the time until the next one is due. An instance that died never cancels its
// work; without this the engine's memory would be lost to it.
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

// due returns when the stream has to be ended, and how; the zero time is never.
func (st *stream) due(window time.Duration) (time.Time, Ending) {
	due, how := st.deadline, EndedDeadline
	if st.unreadFrom.IsZero() {
		return due, how
	}
	if unread := st.unreadFrom.Add(window); due.IsZero() || unread.Before(due) {
		return unread, EndedUnread
	}
	return due, how
}

// stop ends every stream.
func (s *scheduler) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.streams {
		s.end(st, EndedStopped)
	}
}
