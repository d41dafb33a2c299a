package standin

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"celeryport/standin/enginemodel"
	"celeryport/upstream/wire"
)

// spanCheckInterval is the interval at which the lead of a span checks the other parts.
const spanCheckInterval = time.Second

// spanCheckTimeout limits the check of one part.
const spanCheckTimeout = 2 * time.Second

// The reasons why a span cannot run.
var (
	errNotInSpan    = errors.New("this engine is not a part of the span")
	errSpanTooSmall = errors.New("the parts of the span are smaller than the prompt")
	errSpanPart     = errors.New("a part of the span is not reserved")
)

// spanChecker checks whether other engines hold the reservations of their parts.
type spanChecker struct {
	dial Dialer
	key  string
}

// prepareSpan configures the job as the lead of a span and returns the other parts.
// It fails unless the memory of all parts is reserved.
func (e *Engine) prepareSpan(body *wire.GenerateRequest, job *enginemodel.Job) ([]wire.Span, error) {
	own, total := 0, 0
	var others []wire.Span
	for _, part := range body.Span {
		total += part.Tokens
		if part.Address == e.address.Load().(string) {
			own = part.Tokens
			continue
		}
		others = append(others, part)
	}
	if own <= 0 {
		return nil, errNotInSpan
	}
	if total < job.PromptTokens+job.OutputTokens {
		return nil, errSpanTooSmall
	}
	job.MemoryTokens = own
	job.SpanSpeedup = float64(len(body.Span))
	if !e.scheduler.holds(job.ID) {
		return nil, errSpanPart
	}
	return others, e.spans.check(e.ctx, job.ID, others)
}

// watchSpan ends the stream when a part of its span is lost. If the engine of a part
// crashes or its reservation expires, part of the prompt's KV cache is lost.
func (e *Engine) watchSpan(st *stream, job string, parts []wire.Span) {
	ticker := time.NewTicker(spanCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-ticker.C:
		}
		if !e.scheduler.runs(st) {
			return
		}
		if e.spans.check(e.ctx, job, parts) != nil {
			e.scheduler.endLostSpan(time.Now(), st)
			return
		}
	}
}

// runs reports whether the job of the stream is still running.
func (s *scheduler) runs(st *stream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return st.ended == "" && !st.finished
}

// endLostSpan ends a stream that has lost a part of its span.
func (s *scheduler) endLostSpan(now time.Time, st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.ended != "" {
		return
	}
	s.model.Cancel(s.scale.model(now), st.job)
	s.end(st, EndedSpanLost)
	s.wakeUp()
}

// check returns an error unless every part holds its memory.
func (c *spanChecker) check(ctx context.Context, job string, parts []wire.Span) error {
	for _, part := range parts {
		if err := c.checkPart(ctx, job, part); err != nil {
			return err
		}
	}
	return nil
}

func (c *spanChecker) checkPart(ctx context.Context, job string, part wire.Span) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + part.Address + wire.PathHoldings)
	request.Header.Set(fasthttp.HeaderAuthorization, bearer+c.key)
	request.SetConnectionClose()
	var holdings wire.Holdings
	if err := exchangeJSON(ctx, c.dial, part.Address, request, spanCheckTimeout, &holdings); err != nil {
		return errors.Wrapf(errSpanPart, "%s: %v", part.Address, err)
	}
	for _, held := range holdings.Held {
		if jobID(held.Request, held.Attempt) == job && held.Tokens >= part.Tokens {
			return nil
		}
	}
	return errors.Wrapf(errSpanPart, "%s holds nothing for it", part.Address)
}
