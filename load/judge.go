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

// read reads the answer and judges it.
func (c *caller) read(e *exchange, w *Work, due time.Time, o *Outcome) {
	switch {
	case o.Status != fasthttp.StatusOK:
		readFailure(e, o)
	case w.isCall():
		readCall(e, w, o)
	case strings.HasPrefix(string(e.response.Header.ContentType()), contentTypeEvents):
		readStream(e, w, due, o)
	default:
		readWhole(e, w, o)
	}
}

// fail ends the outcome without an answer; err says how reading ended.
func (o *Outcome) fail(err error, reason string) {
	o.Result, o.Reason = Failed, reason
	if errors.Is(err, ErrSilent) {
		o.Result, o.Reason = Lost, reasonSilent
	}
	if err != nil {
		o.Detail = err.Error()
	}
}

// cross ends the outcome with a wrong answer.
func (o *Outcome) cross(reason, detail string) {
	o.Result, o.Reason, o.Detail = Crossed, reason, detail
}

// explain ends the outcome with an explicit refusal or failure.
func (o *Outcome) explain(f *failure) {
	o.Result, o.Reason, o.Verdict = Failed, f.Type, f.Verdict
	o.Detail = f.Message
	if f.Verdict == verdict.NotRun {
		o.Result = Refused
	}
}

// readFailure reads the JSON of an answer that is not a success.
func readFailure(e *exchange, o *Outcome) {
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
	// The header and the body must not tell different things.
	if content.Error.Verdict != o.Verdict {
		content.Error.Verdict = verdict.MayHaveRun
	}
	o.explain(content.Error)
}

// readCall judges the answer of a service.
func readCall(e *exchange, w *Work, o *Outcome) {
	body, err := e.body()
	if err != nil {
		o.fail(err, reasonCutOff)
		return
	}
	var given answer.Call
	if err := json.Unmarshal(body, &given); err != nil {
		o.cross(reasonWrongCall, err.Error())
		return
	}
	if given.Digest != answer.CallDigest(w.Body) {
		o.cross(reasonWrongCall, "answer to "+given.Request)
		return
	}
	o.Result = Served
}

// readWhole judges a completion that comes as one JSON value.
func readWhole(e *exchange, w *Work, o *Outcome) {
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
	o.complete(w, content.Choices[0].Text)
}

// complete judges a text that was shown as the whole answer.
func (o *Outcome) complete(w *Work, text string) {
	if err := answer.CheckHash(w.Prompt.Hash(), w.Prompt.Answer, text); err != nil {
		o.cross(reasonWrongText, err.Error())
		return
	}
	o.Result = Served
}

// incomplete judges what was shown of an answer that ended early: what the
// caller has read must be the beginning of the right one.
func (o *Outcome) incomplete(w *Work, text string) {
	err := answer.CheckHash(w.Prompt.Hash(), w.Prompt.Answer, text)
	if err != nil && !errors.Is(err, answer.ErrShort) {
		o.cross(reasonWrongPart, err.Error())
	}
}

// readStream reads a streamed completion.
func readStream(e *exchange, w *Work, due time.Time, o *Outcome) {
	events := newEventReader(e.response.BodyStream())
	var text strings.Builder
	for {
		event, err := events.next()
		switch {
		case errors.Is(err, errDone):
			o.complete(w, text.String())
			return
		case errors.Is(err, io.EOF):
			o.fail(nil, reasonCutOff)
			o.incomplete(w, text.String())
			return
		case err != nil:
			o.fail(err, reasonCutOff)
			o.incomplete(w, text.String())
			return
		case event.Error != nil:
			o.explain(event.Error)
			o.incomplete(w, text.String())
			return
		}
		if event.Marks != nil && event.Marks.RequestID != o.RequestID {
			o.cross(reasonWrongID, "events of "+event.Marks.RequestID)
			return
		}
		o.take(event, &text, due)
	}
}

// take adds the text of one event.
func (o *Outcome) take(event *completion, text *strings.Builder, due time.Time) {
	if event.Marks != nil {
		o.Verdict = event.Marks.Verdict
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
