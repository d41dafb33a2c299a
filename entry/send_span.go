package entry

import (
	"context"
	"time"

	"celeryport/dispatch"
	"celeryport/upstream/wire"
	"celeryport/verdict"
)

// spanLease is how long an engine keeps a part of a span without a renewal. It
// bounds the memory that is lost when this instance dies.
const spanLease = 5 * time.Second

// spanRetry is when a span that found no memory may be tried again.
const spanRetry = 500 * time.Millisecond

// generateSpan reserves memory on every part, all or nothing and in the order of
// the placement, which is the same on all instances, so that two spans never
// wait for one another. It holds the reservations until the answer has ended.
func (s *sender) generateSpan(e *exchange, action *dispatch.Action) dispatch.Outcome {
	parts := action.Placement.Parts
	held, refused := s.reserveAll(e, action, parts)
	defer s.releaseAll(action, held)
	if refused != nil {
		return dispatch.Outcome{Err: refused}
	}
	renewing, stop := context.WithCancel(e.ctx)
	defer stop()
	go s.renewAll(renewing, action, parts)
	return s.generate(e, action, spanOf(parts))
}

func spanOf(parts []dispatch.Part) []wire.Span {
	span := make([]wire.Span, len(parts))
	for i, part := range parts {
		span[i] = wire.Span{Address: part.Address, Tokens: part.Tokens}
	}
	return span
}

// reserveAll returns the parts that may hold memory now: after a lost answer the
// engine may have reserved, so that part is released as well.
func (s *sender) reserveAll(e *exchange, action *dispatch.Action, parts []dispatch.Part) ([]dispatch.Part, *verdict.Error) {
	for i, part := range parts {
		response, err := s.options.Client.Reserve(e.ctx, part.Address, s.reservation(action, part.Tokens))
		if err != nil {
			return parts[:i+1], verdict.Wrap(err, verdict.NotRun, verdict.ReasonUpstream, "cannot reserve memory on upstream %s", part.Name)
		}
		if !response.Granted {
			return parts[:i], verdict.Refuse(verdict.ReasonNoUpstream, spanRetry, "upstream %s has no memory free for its part", part.Name)
		}
	}
	return parts, nil
}

func (s *sender) reservation(action *dispatch.Action, tokens int) *wire.ReserveRequest {
	return &wire.ReserveRequest{
		Request: action.Request.ID,
		Attempt: action.Attempt,
		Owner:   s.options.Client.Owner(),
		Tokens:  tokens,
		LeaseMs: spanLease.Milliseconds(),
	}
}

// renewAll keeps the reservations alive until ctx ends. A renewal that fails is
// tried again with the next round, well before the lease lapses.
func (s *sender) renewAll(ctx context.Context, action *dispatch.Action, parts []dispatch.Part) {
	ticker := time.NewTicker(spanLease / 5)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, part := range parts {
			_, _ = s.options.Client.Reserve(ctx, part.Address, s.reservation(action, part.Tokens))
		}
	}
}

// releaseAll frees the parts. The canceller repeats it until each engine has
// confirmed; the lease covers the case that none of its messages arrive.
func (s *sender) releaseAll(action *dispatch.Action, parts []dispatch.Part) {
	for _, part := range parts {
		s.canceller.add(part, action.Request.ID, action.Attempt)
	}
}
