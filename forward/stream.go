package forward

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/httpwire"
	"celeryport/verdict"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// stream hands the events of an answer to the caller as they come, whole events
// only: when the upstream breaks off, another one can go on after the last.
func (s *sending) stream(head *httpwire.ResponseHead, answer Answer) *outcome {
	body := httpwire.NewBody(s.conn.reader, head.Body)
	events := httpwire.NewEventReader(body, maxEventBytes)
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) && body.Complete() {
			return s.streamEnded(head, answer)
		}
		if err != nil {
			return s.failed(err)
		}
		if err := s.event(head, &e); err != nil {
			return &outcome{verdict: verdict.MayHaveRun, err: err, reached: true}
		}
	}
}

// event hands on one event, unless the caller has it already.
func (s *sending) event(head *httpwire.ResponseHead, e *httpwire.Event) error {
	x := s.x
	if e.HasID && x.hasEvent {
		if e.ID <= x.lastEvent {
			return nil
		}
		if e.ID != x.lastEvent+1 {
			return errOrder
		}
	}
	if !x.writer.begun {
		// The head waits for the first event: until then another upstream can still
		// take the call as if nothing had happened.
		x.writer.begin(&httpwire.ResponseHead{Status: head.Status, Reason: head.Reason, Fields: head.Fields.EndToEnd()})
	}
	if !s.begun {
		s.begun, s.phase = true, phaseAnswering
		x.server.fleet.answering(s.work)
		x.server.fleet.answered(s.node)
	}
	if x.firstAt.IsZero() {
		x.firstAt = time.Now()
	}
	x.notePause()
	if x.late() {
		x.server.fleet.late(s.work)
	}
	x.writer.part(e.Raw)
	x.events++
	if e.HasID {
		x.lastEvent, x.hasEvent = e.ID, true
	}
	return x.writer.failure
}

// notePause keeps the longest pause between two events and when it began.
func (x *exchange) notePause() {
	now := time.Now()
	if pause := now.Sub(x.eventAt); x.events > 0 && pause > x.longestPause {
		x.longestPause, x.pausedAt = pause, x.eventAt
	}
	x.eventAt = now
}

// late reports whether the answer can't be in time any more.
func (x *exchange) late() bool {
	if !x.firstAt.IsZero() && x.age+x.firstAt.Sub(x.began) > x.route.Objective {
		return true
	}
	return x.route.LongPause > 0 && x.longestPause > x.route.LongPause
}

// longPause is the longest pause with which the rest of the answer is in time, 0 if
// it is late already.
func (x *exchange) longPause() time.Duration {
	if x.late() {
		return 0
	}
	return x.route.LongPause
}

// streamEnded ends the caller's answer as complete.
func (s *sending) streamEnded(head *httpwire.ResponseHead, answer Answer) *outcome {
	x := s.x
	if !x.writer.begun {
		x.writer.begin(&httpwire.ResponseHead{Status: head.Status, Reason: head.Reason, Fields: head.Fields.EndToEnd()})
	}
	x.writer.end()
	s.finish(head, answer)
	x.server.options.Metrics.sent(x.service.Name, verdict.Ran.String())
	return &outcome{verdict: verdict.Ran, reached: true, err: x.writer.failure}
}
