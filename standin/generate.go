package standin

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"celeryport/request"
	"celeryport/standin/answer"
	"celeryport/standin/enginemodel"
	"celeryport/upstream/wire"
)

// maxAnswerTokens limits the length of one answer.
const maxAnswerTokens = 1 << 20

// serveGenerate starts a prompt or resumes its stream, and streams the answer.
func (e *Engine) serveGenerate(ctx *fasthttp.RequestCtx) {
	c, ok := parseCall(&ctx.Request.Header)
	if !ok || c.request == "" {
		refuse(ctx, fasthttp.StatusBadRequest, "malformed headers")
		return
	}
	var body wire.GenerateRequest
	if !decode(ctx, &body) {
		return
	}
	if status, reason := e.refusalReason(&c, &body); reason != "" {
		e.refuseGenerate(ctx, &c, &body, status, reason)
		return
	}
	fault := e.faults.take()
	if e.delayed(fault) && e.ctx.Err() != nil || fault.Fault == FaultRefuse {
		e.refuseGenerate(ctx, &c, &body, fasthttp.StatusServiceUnavailable, "told to refuse")
		return
	}
	e.run(ctx, &c, &body, fault.Fault)
}

// refusalReason returns why the request must be refused before it is submitted. The
// reason is empty if there is none.
func (e *Engine) refusalReason(c *call, body *wire.GenerateRequest) (status int, reason string) {
	switch {
	case body.Prompt == "" || body.MaxTokens <= 0 || body.MaxTokens > maxAnswerTokens || c.offset > body.MaxTokens:
		return fasthttp.StatusBadRequest, "prompt, max_tokens or offset out of range"
	case !slices.Contains(e.orders.read(0).Models, body.Model):
		return fasthttp.StatusNotFound, "model is not loaded"
	case c.limited && c.remaining <= 0:
		return fasthttp.StatusServiceUnavailable, "no time left"
	case e.leaving.Load() && !e.scheduler.has(c.request):
		return fasthttp.StatusServiceUnavailable, "leaving"
	}
	return 0, ""
}

func (e *Engine) refuseGenerate(ctx *fasthttp.RequestCtx, c *call, body *wire.GenerateRequest, status int, reason string) {
	e.journal.write(&Entry{
		At: time.Now(), Upstream: e.options.Name, Request: c.request, Attempt: c.attempt, Key: c.key,
		Target: body.Model, PromptTokens: request.EstimateTokens(len(body.Prompt)), Ended: EndedRefused, Reason: reason,
	})
	refuse(ctx, status, reason)
}

// delayed waits if the fault is FaultSlow and reports whether it is.
func (h *host) delayed(fault FaultSwitch) bool {
	if fault.Fault != FaultSlow {
		return false
	}
	timer := time.NewTimer(time.Duration(fault.DelayMs) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-h.ctx.Done():
	}
	return true
}

// run passes the request to the scheduler and streams the answer to the caller.
func (e *Engine) run(ctx *fasthttp.RequestCtx, c *call, body *wire.GenerateRequest, fault Fault) {
	now := time.Now()
	requested := newStream(now, c, body)
	job := e.newJob(c, body, requested)
	var parts []wire.Span
	if len(body.Span) > 1 {
		var err error
		if parts, err = e.prepareSpan(body, &job); err != nil {
			e.refuseGenerate(ctx, c, body, fasthttp.StatusConflict, err.Error())
			return
		}
	}
	st, reader, err := e.scheduler.attach(now, requested, job)
	if err != nil {
		e.rejectGenerate(ctx, c, body, err)
		return
	}
	if len(parts) > 0 && st == requested {
		go e.watchSpan(st, job.ID, parts)
	}
	e.stream(ctx, st, reader, c, fault)
}

// rejectGenerate answers a request that the scheduler did not accept. If another
// attempt of the request is on the engine, the answer carries no refusal header,
// because the request does run here.
func (e *Engine) rejectGenerate(ctx *fasthttp.RequestCtx, c *call, body *wire.GenerateRequest, err error) {
	switch {
	case errors.Is(err, errStale), errors.Is(err, errMismatch), errors.Is(err, enginemodel.ErrDuplicate):
		fail(ctx, fasthttp.StatusConflict, err.Error())
	case errors.Is(err, errGone):
		e.refuseGenerate(ctx, c, body, fasthttp.StatusConflict, err.Error())
	case errors.Is(err, enginemodel.ErrTooLarge):
		e.refuseGenerate(ctx, c, body, fasthttp.StatusRequestEntityTooLarge, err.Error())
	default:
		e.refuseGenerate(ctx, c, body, fasthttp.StatusBadRequest, err.Error())
	}
}

func newStream(now time.Time, c *call, body *wire.GenerateRequest) *stream {
	s := &stream{
		call:         *c,
		model:        body.Model,
		hash:         answer.Hash(body.Prompt),
		promptTokens: request.EstimateTokens(len(body.Prompt)),
		maxTokens:    body.MaxTokens,
	}
	if c.limited {
		s.deadline = now.Add(c.remaining)
	}
	return s
}

func (e *Engine) newJob(c *call, body *wire.GenerateRequest, s *stream) enginemodel.Job {
	prefixHash, prefixTokens := request.Prefix(body.Prompt)
	return enginemodel.Job{
		ID:           jobID(c.request, c.attempt),
		Owner:        c.owner,
		Priority:     c.priority,
		PromptTokens: s.promptTokens,
		OutputTokens: body.MaxTokens,
		PrefixHash:   prefixHash,
		PrefixTokens: prefixTokens,
		Offset:       c.offset,
	}
}

// stream sends the answer as frames until it ends.
func (e *Engine) stream(ctx *fasthttp.RequestCtx, st *stream, reader uint64, c *call, fault Fault) {
	w := &answerWriter{
		scheduler: e.scheduler,
		stream:    st,
		reader:    reader,
		attempt:   c.attempt,
		conn:      ctx.Conn(),
		heartbeat: e.options.Heartbeat,
		faults:    e.faults,
		fault:     fault,
		ctx:       e.ctx,
	}
	w.prepare(c.offset)
	switch fault {
	case FaultCloseAfterRead:
		_ = w.conn.Close()
		w.detachReader()
		return
	case FaultNever:
		e.faults.untilCleared(e.ctx)
		_ = w.conn.Close()
		w.detachReader()
		return
	}
	ctx.SetContentType(contentTypeLines)
	ctx.SetBodyStreamWriter(w.write)
}
