package load

import (
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"celeryport/standin/answer"
	"celeryport/verdict"
)

const contentTypeEvents = "text/event-stream"

// read reads the answer and sets the outcome accordingly.
func (c *caller) read(e *exchange, w *Work, due time.Time, o *Outcome) {
	switch {
	case o.Status != fasthttp.StatusOK:
		readError(e, o)
	case w.isCall():
		readCall(e, w, o)
	case strings.HasPrefix(string(e.response.Header.ContentType()), contentTypeEvents):
		readStream(e, w, due, o)
	default:
		readJSON(e, w, o)
	}
}

// fail sets the outcome of a request without a complete answer; err is the error of
// reading it, if any.
func (o *Outcome) fail(err error, reason string) {
	o.Result, o.Reason = Failed, reason
	if errors.Is(err, ErrTimeout) {
		o.Result, o.Reason = Lost, reasonTimeout
	}
	if err != nil {
		o.Detail = err.Error()
	}
}

// setCrossed sets the outcome of a request that got a wrong answer.
func (o *Outcome) setCrossed(reason, detail string) {
	o.Result, o.Reason, o.Detail = Crossed, reason, detail
}

// setError sets the outcome from an explicit refusal or failure.
func (o *Outcome) setError(f *errorBody) {
	o.Result, o.Reason, o.Verdict = Failed, f.Type, f.Verdict
	o.Detail = f.Message
	if f.Verdict == verdict.NotRun {
		o.Result = Refused
	}
}

// readError reads the JSON error of an unsuccessful response.
func readError(e *exchange, o *Outcome) {
	body, err := e.body()
	if err != nil {
		o.fail(err, reasonCutOff)
		return
	}
	var content completion
	if json.Unmarshal(body, &content) != nil || content.Error == nil || content.Error.Type == "" {
		o.fail(nil, reasonMalformed)
		o.Verdict = verdict.MayHaveRun
		return
	}
	// A verdict that differs between header and body cannot be trusted.
	if content.Error.Verdict != o.Verdict {
		content.Error.Verdict = verdict.MayHaveRun
	}
	o.setError(content.Error)
}

// readCall reads and checks the answer of a service.
func readCall(e *exchange, w *Work, o *Outcome) {
	body, err := e.body()
	if err != nil {
		o.fail(err, reasonCutOff)
		return
	}
	var given answer.Call
	if err := json.Unmarshal(body, &given); err != nil {
		o.setCrossed(reasonWrongCall, err.Error())
		return
	}
	if given.Digest != answer.CallDigest(w.Body) {
		o.setCrossed(reasonWrongCall, "answer to "+given.Request)
		return
	}
	o.Result = Served
}

// readJSON reads and checks a completion that is a single JSON value.
func readJSON(e *exchange, w *Work, o *Outcome) {
	body, err := e.body()
	if err != nil {
		o.fail(err, reasonCutOff)
		return
	}
	var content completion
	if err := json.Unmarshal(body, &content); err != nil || len(content.Choices) != 1 {
		o.fail(err, reasonMalformed)
		return
	}
	o.checkComplete(w, content.Choices[0].Text)
}

// checkComplete checks a text that was delivered as the complete answer.
func (o *Outcome) checkComplete(w *Work, text string) {
	if err := answer.CheckHash(w.Prompt.Hash(), w.Prompt.MaxAnswerTokens, text); err != nil {
		o.setCrossed(reasonWrongText, err.Error())
		return
	}
	o.Result = Served
}

// checkPartial checks the text of an answer that ended early: it must be a prefix of
// the correct answer.
func (o *Outcome) checkPartial(w *Work, text string) {
	err := answer.CheckHash(w.Prompt.Hash(), w.Prompt.MaxAnswerTokens, text)
	if err != nil && !errors.Is(err, answer.ErrShort) {
		o.setCrossed(reasonWrongPart, err.Error())
	}
}

// readStream reads and checks a streamed completion.
func readStream(e *exchange, w *Work, due time.Time, o *Outcome) {
	events := newEventReader(e.response.BodyStream())
	var text strings.Builder
	for {
		event, err := events.next()
		switch {
		case errors.Is(err, errStreamDone):
			o.checkComplete(w, text.String())
			return
		case errors.Is(err, io.EOF):
			o.fail(nil, reasonCutOff)
			o.checkPartial(w, text.String())
			return
		case err != nil:
			o.fail(e.classify(err), reasonCutOff)
			o.checkPartial(w, text.String())
			return
		case event.Error != nil:
			o.setError(event.Error)
			o.checkPartial(w, text.String())
			return
		}
		if event.Metadata != nil && event.Metadata.RequestID != o.RequestID {
			o.setCrossed(reasonWrongID, "events of "+event.Metadata.RequestID)
			return
		}
		o.appendText(event, &text, due)
	}
}

// appendText appends the text of one event and records the time of the first token.
func (o *Outcome) appendText(event *completion, text *strings.Builder, due time.Time) {
	if event.Metadata != nil {
		o.Verdict = event.Metadata.Verdict
	}
	for i := range event.Choices {
		if event.Choices[i].Text == "" {
			continue
		}
		if o.FirstToken == 0 {
			o.FirstToken = time.Since(due)
		}
		text.WriteString(event.Choices[i].Text)
	}
}
