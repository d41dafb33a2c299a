package standin

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"celeryport/standin/enginemodel"
	"celeryport/upstream/wire"
)

// spanCheckInterval is how often the lead of a span looks at its other parts.
const spanCheckInterval = time.Second

// spanCheckTimeout bounds one look at one part.
const spanCheckTimeout = 2 * time.Second

// The reasons for which a span cannot run.
var (
	errNotInSpan   = errors.New("this engine is not a part of the span")
	errSpanTooTiny = errors.New("the parts of the span are smaller than the prompt")
	errSpanPart    = errors.New("a part of the span is not reserved")
)

// spanChecker asks other engines whether they hold their parts.
type spanChecker struct {
	dial Dialer
	key  string
}

// prepareSpan sets the job up as the lead of a span and returns the other parts.
// It fails unless every part holds its memory.
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
		return nil, errSpanTooTiny
	}
	job.MemoryTokens = own
	job.SpanSpeedup = float64(len(body.Span))
	if !e.scheduler.holds(job.ID) {
		return nil, errSpanPart
	}
	return others, e.spans.check(e.ctx, job.ID, others)
}

// watchSpan ends the stream when a part of its span is lost: an engine that died
// or a reservation that lapsed took a piece of the prompt's KV memory away.
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
			e.scheduler.lose(time.Now(), st)
			return
		}
	}
}

// runs reports whether the stream's job is not finished.
func (s *scheduler) runs(st *stream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return st.ended == "" && !st.finished
}

// lose ends a stream whose span broke.
func (s *scheduler) lose(now time.Time, st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.ended != "" {
		return
	}
	s.model.Cancel(s.scale.model(now), st.job)
	s.end(st, EndedSpanLost)
	s.poke()
}

// check asks every part for its holdings.
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
