package forward

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/httpwire"
	"celeryport/resume"
	"celeryport/verdict"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// stream forwards the events of an answer to the caller as they arrive. Only whole events are
// forwarded, so that another upstream can resume after the last one when this upstream fails.
func (s *sending) stream(ctx context.Context, head *httpwire.ResponseHead, answer Answer) *outcome {
	if err := s.x.received.Start(runHead(head)); err != nil {
		return brokenRun(err)
	}
	body := httpwire.NewBody(s.conn.reader, head.Body)
	events, end := s.x.eventReader(ctx, body)
	defer end()
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) && body.Complete() {
			if err := s.verifyEnd(ctx, head); err != nil {
				return s.brokenOutcome(err)
			}
			if err := s.x.received.End(); err != nil {
				return brokenRun(err)
			}
			return s.streamEnded(head, answer)
		}
		if err != nil {
			return s.brokenOutcome(err)
		}
		if err := s.forwardEvent(head, &e); err != nil {
			return brokenRun(err)
		}
	}
}

// brokenRun returns the outcome of a send whose answer was not passed on to its end.
func brokenRun(err error) *outcome {
	return &outcome{verdict: verdict.MayHaveRun, err: err, reached: true}
}

// runHead returns what package resume needs to know of the head of an answer.
func runHead(head *httpwire.ResponseHead) resume.Head {
	return resume.Head{Status: head.Status, Type: head.Fields.Get("Content-Type")}
}

// eventReader returns a reader of the events of an answer, and a function to call when it is no longer used. Long
// events wait for memory until the deadline of the call.
func (x *exchange) eventReader(ctx context.Context, body io.Reader) (*httpwire.EventReader, func()) {
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	held := x.server.answers.Claim(maxEventBytes)
	events := httpwire.NewEventReader(body, maxEventBytes)
	events.Reserve, events.Release = x.awaitRoom(ctx, held), held.Release
	return events, func() {
		events.Close()
		cancel()
	}
}

// forwardEvent forwards one event, unless the caller has received it already.
func (s *sending) forwardEvent(head *httpwire.ResponseHead, e *httpwire.Event) error {
	x := s.x
	if s.idleEvents.pass(x, e) {
		s.conn.liveness.meter.KeepAlive(time.Now())
		return x.writer.Failure()
	}
	s.lastEventAt = time.Now()
	if wanted, err := x.received.Accept(runEvent(e)); err != nil || !wanted {
		return err
	}
	s.conn.liveness.meter.Part()
	x.beginAnswer(head)
	if !s.begun {
		s.begun, s.phase = true, phaseAnswering
		x.server.fleet.recordAnswering(s.work)
		x.server.fleet.recordAnswer(s.node)
		s.recordBegun()
		s.begunAt = s.lastEventAt
	}
	if !s.sound && s.lastEventAt.Sub(s.begunAt) >= lateCrashWindow {
		s.sound = true
		x.server.fleet.suspects.recordWriting(s.lastEventAt, x.call.PromptParts)
	}
	x.deliver(e)
	if x.late() {
		x.server.fleet.recordLate(s.work)
	}
	return x.writer.Failure()
}

func runEvent(e *httpwire.Event) resume.Event {
	return resume.Event{ID: e.ID, HasID: e.HasID, Size: len(e.Raw)}
}

// beginAnswer prepares the head of the answer if that has not been done. It is written with the first
// event: until then another upstream can still answer the call without the caller noticing.
func (x *exchange) beginAnswer(head *httpwire.ResponseHead) {
	if !x.writer.Begun() {
		x.writer.Begin(&httpwire.ResponseHead{Status: head.Status, Reason: head.Reason, Fields: head.Fields.EndToEnd()})
	}
}

// deliver writes an event to the caller.
func (x *exchange) deliver(e *httpwire.Event) {
	if x.firstAt.IsZero() {
		x.firstAt = time.Now()
	}
	x.recordPause()
	x.writer.Part(e.Raw)
	x.events++
}

// recordPause updates the longest pause between two events and its start.
func (x *exchange) recordPause() {
	now := time.Now()
	if pause := now.Sub(x.eventAt); x.events > 0 && pause > x.longestPause {
		x.longestPause, x.pausedAt = pause, x.eventAt
	}
	x.eventAt = now
}

// late reports whether the answer has already missed the route's objective or exceeded the
// route's limit for pauses.
func (x *exchange) late() bool {
	if !x.firstAt.IsZero() && x.age+x.firstAt.Sub(x.began) > x.route.Objective {
		return true
	}
	return x.route.PauseLimit > 0 && x.longestPause > x.route.PauseLimit
}

// longPause returns the limit for the pauses between the remaining events, 0 if the answer is
// late already and pauses no longer matter.
func (x *exchange) longPause() time.Duration {
	if x.late() {
		return 0
	}
	return x.route.PauseLimit
}

// streamEnded completes the caller's answer.
func (s *sending) streamEnded(head *httpwire.ResponseHead, answer Answer) *outcome {
	x := s.x
	x.beginAnswer(head)
	s.idleEvents.end(x)
	x.writer.End()
	s.finish(head, answer)
	x.server.options.Metrics.Sent(x.service.Name, verdict.Ran.String())
	return &outcome{verdict: verdict.Ran, reached: true}
}
