package entry

import (
	"github.com/valyala/fasthttp"

	"celeryport/request"
)

// serve runs an admitted exchange and writes its answer. The request is counted as
// received here and not earlier, because it is counted by its model or service, which
// is now known.
func (s *Server) serve(ctx *fasthttp.RequestCtx, e *exchange, stream bool) {
	s.options.Recorder.Received(e.request)
	s.disconnects.add(e, ctx.Conn())
	s.driver.offer(e)
	if stream {
		s.serveStream(ctx, e)
		return
	}
	defer e.releaseBody()
	defer s.disconnects.remove(e)
	var text []byte
	for {
		more, ended := e.next(nil)
		text = append(text, more...)
		if ended {
			s.writeResult(ctx, e, text)
			return
		}
	}
}

// writeResult writes the final answer of an exchange that is not streamed.
func (s *Server) writeResult(ctx *fasthttp.RequestCtx, e *exchange, text []byte) {
	outcome := e.outcome()
	if outcome.err != nil {
		writeError(ctx, outcome.err, nil)
		return
	}
	ctx.Response.Header.Set(headerVerdict, outcome.verdict().String())
	if e.request.Kind == request.ServiceCall {
		writeService(ctx, &outcome)
		return
	}
	finish := finishStop
	writeJSON(ctx, completionAnswer{
		ID:      e.request.ID,
		Object:  objectCompletion,
		Model:   e.request.Target,
		Choices: []completionChoice{{Text: string(text), FinishReason: &finish}},
		Usage:   usageOf(e.request, &outcome),
	})
}

func writeService(ctx *fasthttp.RequestCtx, outcome *result) {
	if outcome.service == nil {
		ctx.SetBody(outcome.storedAnswer)
		return
	}
	ctx.SetStatusCode(outcome.service.Status)
	ctx.SetContentType(outcome.service.ContentType)
	ctx.SetBody(outcome.service.Body)
}

const finishStop = "stop"

func usageOf(r *request.Request, outcome *result) *usage {
	return &usage{
		PromptTokens:     r.PromptTokens,
		CompletionTokens: outcome.answerTokens,
		TotalTokens:      r.PromptTokens + outcome.answerTokens,
	}
}
