package entry

import (
	"bufio"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"celeryport/verdict"
)

// streamHeartbeat is how often a comment is sent to a caller while there is no new
// text, so that both sides detect a dead connection.
const streamHeartbeat = time.Second

// serveStream answers with server-sent events. It writes the header only with the
// first text, so that a refusal gets its own status code.
func (s *Server) serveStream(ctx *fasthttp.RequestCtx, e *exchange) {
	text, ended := e.next(nil)
	for len(text) == 0 && !ended {
		text, ended = e.next(nil)
	}
	s.disconnects.remove(e)
	if outcome := e.outcome(); ended && len(text) == 0 && outcome.err != nil {
		defer e.releaseBody()
		writeError(ctx, outcome.err, nil)
		return
	}
	ctx.Response.Header.Set(headerVerdict, verdict.Ran.String())
	ctx.SetContentType(contentTypeEvents)
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer e.releaseBody()
		s.writeStream(&eventWriter{out: w}, e, text, ended)
	})
}

// writeStream writes events until the end. A failed write means that the caller has
// disconnected.
func (s *Server) writeStream(w *eventWriter, e *exchange, text []byte, ended bool) {
	heartbeat := time.NewTicker(streamHeartbeat)
	defer heartbeat.Stop()
	for {
		w.text(e.request.ID, text)
		if ended {
			w.end(e)
			return
		}
		if w.err != nil {
			s.driver.abort(e, verdict.ReasonCallerLeft, "the caller left")
			return
		}
		text, ended = e.next(heartbeat.C)
	}
}

// eventWriter writes server-sent events and keeps the first error.
type eventWriter struct {
	out *bufio.Writer
	err error
}

// text writes one event with text, or a comment if there is none.
func (w *eventWriter) text(id string, text []byte) {
	if len(text) == 0 {
		w.raw(": waiting\n\n")
		return
	}
	w.event(completionAnswer{ID: id, Object: objectCompletion, Choices: []completionChoice{{Text: string(text)}}})
}

// end writes the last event: the summary of a complete answer followed by
// [DONE], or the failure without [DONE].
func (w *eventWriter) end(e *exchange) {
	outcome := e.outcome()
	if outcome.err != nil {
		w.event(errorAnswer{Error: errorBodyOf(outcome.err)})
		return
	}
	finish := finishStop
	w.event(completionAnswer{
		ID:         e.request.ID,
		Object:     objectCompletion,
		Model:      e.request.Target,
		Choices:    []completionChoice{{FinishReason: &finish}},
		Usage:      usageOf(e.request, &outcome),
		Celeryport: &requestSummary{RequestID: e.request.ID, Verdict: outcome.verdict().String()},
	})
	w.raw("data: [DONE]\n\n")
}

func (w *eventWriter) event(value any) {
	body, err := json.Marshal(value)
	if err != nil {
		w.err = err
		return
	}
	w.raw("data: " + string(body) + "\n\n")
}

func (w *eventWriter) raw(text string) {
	if w.err != nil {
		return
	}
	if _, w.err = w.out.WriteString(text); w.err == nil {
		w.err = w.out.Flush()
	}
}
