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

// maxResumes bounds how often one send picks up a broken stream again.
const maxResumes = 3

// generate sends a prompt to one engine and feeds the answer to the exchange. A
// stream that breaks is picked up by offset on the same engine; the engine
// refuses that if it has restarted.
func (s *sender) generate(e *exchange, action *dispatch.Action, span []wire.Span) dispatch.Outcome {
	sentAt := s.options.Clock.Now()
	lead := leadOf(action.Placement)
	var failed error
	for attempt := range maxResumes + 1 {
		resume := attempt > 0
		err := s.stream(e, s.generateCall(e, action, lead, span, resume))
		if err == nil {
			return s.generated(e, sentAt)
		}
		failed = worse(failed, err)
		if e.ctx.Err() != nil || !worthResuming(err) {
			break
		}
	}
	return s.generateFailed(e, action, sentAt, verdict.From(failed))
}

// worse returns the error that says what is known of the whole send. A resume
// that is refused proves only that the resume was not run: the engine may have
// begun the send before it, and died. If the refusal counted for the whole, a
// request that may not be repeated would be sent to another engine as well.
func worse(before, err error) error {
	if before != nil && verdict.From(err).Verdict == verdict.NotRun {
		return before
	}
	return err
}

// worthResuming reports whether a stream that ended so may be picked up: the
// call may have run, and the engine has not broken the protocol.
func worthResuming(err error) bool {
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

// streamSilence is the settings' limit, 0 if there are none.
func (s *sender) streamSilence() time.Duration {
	if view := s.options.Plane.View(); view != nil && view.Tree != nil {
		return view.Tree.Fleet.StreamSilence
	}
	return 0
}

// stream runs one connection to its end. Nil means that the answer is whole.
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
	e.add(s.options.Clock.Now(), text)
	if first {
		s.driver.firstToken(e)
	}
}

func (s *sender) generated(e *exchange, sentAt time.Time) dispatch.Outcome {
	return dispatch.Outcome{
		AnswerTokens: e.receiver.Offset(),
		CachedTokens: e.receiver.Cached(),
		FirstToken:   e.sinceFirstToken(sentAt),
	}
}

// generateFailed reports a failed send. What the engine may still hold is
// cancelled first, since another attempt may follow elsewhere.
func (s *sender) generateFailed(e *exchange, action *dispatch.Action, sentAt time.Time, err *verdict.Error) dispatch.Outcome {
	if err.Verdict != verdict.NotRun {
		s.cancel(*action)
	}
	delivered := e.hasText()
	return dispatch.Outcome{
		Err:        err,
		FirstToken: e.sinceFirstToken(sentAt),
		Delivered:  delivered,
		// A rerun of a request that may be repeated is compared with what the
		// caller has seen and goes on behind it, or ends in an explicit failure.
		Resumable: delivered && !e.request.NoRepeat,
	}
}
