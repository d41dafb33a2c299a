package entry

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/dispatch"
	"celeryport/upstream/client"
	"celeryport/upstream/wire"
	"celeryport/verdict"
)

// maxResumes bounds how often one send resumes a broken stream.
const maxResumes = 3

// generate sends a prompt to one engine and streams the answer to the exchange. A
// broken stream is resumed by offset on the same engine, which refuses the resume if
// it has restarted. An engine that twice in a row begins what it does not complete is given up.
func (s *sender) generate(e *exchange, action *dispatch.Action, span []wire.Span) dispatch.Outcome {
	sentAt := s.options.Clock.Now()
	lead := leadOf(action.Placement)
	var failed error
	offset := e.receiver.Offset()
	for attempt := range maxResumes + 1 {
		resume := attempt > 0
		err := s.stream(e, s.generateCall(e, action, lead, span, resume))
		if err == nil {
			return s.generateSucceeded(e, sentAt)
		}
		stuck := client.IsIncomplete(err) && client.IsIncomplete(failed) && e.receiver.Offset() == offset
		failed, offset = combineFailures(failed, err), e.receiver.Offset()
		if e.ctx.Err() != nil || stuck || !canResume(err) {
			break
		}
	}
	return s.generateFailed(e, action, sentAt, verdict.From(failed))
}

// combineFailures returns the error that describes the whole send. A refused resume
// proves only that the resume itself was not run: the engine may have begun the
// original send and then died. If the refusal counted for the whole send, a request
// that may not be repeated would be sent to another engine as well.
func combineFailures(before, err error) error {
	if before != nil && verdict.From(err).Verdict == verdict.NotRun {
		return before
	}
	return err
}

// canResume reports whether a stream that ended with err may be resumed: the call may
// have run, and the engine has not violated the protocol.
func canResume(err error) bool {
	if verdict.From(err).Verdict != verdict.MayHaveRun {
		return false
	}
	return !client.IsViolation(err)
}

func (s *sender) generateCall(e *exchange, action *dispatch.Action, lead dispatch.Part, span []wire.Span, resume bool) *client.GenerateCall {
	offset := 0
	if resume {
		offset = e.receiver.Offset()
	}
	e.receiver.Expect(action.Attempt, offset)
	return &client.GenerateCall{
		Address:     lead.Address,
		Incarnation: lead.Incarnation,
		Request:     e.request.ID,
		Attempt:     action.Attempt,
		Priority:    action.Priority,
		Resume:      resume,
		Offset:      offset,
		Remaining:   e.request.Remaining(s.options.Clock.Now()),
		Silence:     s.streamSilence(),
		Key:         e.request.Key,
		Body: wire.GenerateRequest{
			Model:     e.request.Target,
			Prompt:    e.prompt.Prompt,
			MaxTokens: e.request.OutputTokens,
			Span:      span,
		},
	}
}

// streamSilence returns the stream_silence setting, or 0 if there are no settings.
func (s *sender) streamSilence() time.Duration {
	if view := s.options.Plane.View(); view != nil && view.Tree != nil {
		return view.Tree.Fleet.StreamSilence
	}
	return 0
}

// stream reads one connection to its end. It returns nil if the answer is complete.
func (s *sender) stream(e *exchange, call *client.GenerateCall) error {
	stream, failed := s.options.Client.Generate(e.ctx, call, e.receiver)
	if failed != nil {
		return failed
	}
	defer stream.Close()
	for {
		text, err := stream.Next()
		if text != "" {
			s.deliver(e, text)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (s *sender) deliver(e *exchange, text string) {
	first := !e.hasText()
	e.appendText(s.options.Clock.Now(), text)
	if first {
		s.driver.firstToken(e)
	}
}

func (s *sender) generateSucceeded(e *exchange, sentAt time.Time) dispatch.Outcome {
	return dispatch.Outcome{
		AnswerTokens: e.receiver.Offset(),
		CachedTokens: e.receiver.Cached(),
		FirstToken:   e.sinceFirstToken(sentAt),
	}
}

// generateFailed returns the outcome of a failed send. It first cancels what the
// engine may still hold, since another attempt may follow on another engine.
func (s *sender) generateFailed(e *exchange, action *dispatch.Action, sentAt time.Time, err *verdict.Error) dispatch.Outcome {
	if err.Verdict != verdict.NotRun {
		s.cancel(*action)
	}
	delivered := e.hasText()
	return dispatch.Outcome{
		Err:        err,
		FirstToken: e.sinceFirstToken(sentAt),
		Delivered:  delivered,
		// If the request may be repeated, the answer of a rerun is compared with the text
		// that the caller has already received and continues after it, or ends in an
		// explicit failure.
		Resumable: delivered && !e.request.NoRepeat,
	}
}
