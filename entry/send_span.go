package entry

import (
	"context"
	"time"

	"celeryport/dispatch"
	"celeryport/upstream/wire"
	"celeryport/verdict"
)

// spanLease is how long an engine keeps the memory of a part without a renewal. It
// limits how long that memory stays reserved after this instance has died.
const spanLease = 5 * time.Second

// spanRetryAfter is the Retry-After of a span for which an engine had no free memory.
const spanRetryAfter = 500 * time.Millisecond

// generateSpan reserves memory on every part, all or nothing, and holds the
// reservations until the answer has ended. It reserves in the order of the placement,
// which is the same on all instances, so that two spans never deadlock.
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

// reserveAll reserves memory on each part and returns the parts that may hold memory
// now. That includes a part whose response was lost, because the engine may have made
// the reservation; it is released as well.
func (s *sender) reserveAll(e *exchange, action *dispatch.Action, parts []dispatch.Part) ([]dispatch.Part, *verdict.Error) {
	for i, part := range parts {
		response, err := s.options.Client.Reserve(e.ctx, part.Address, s.reservation(action, part.Tokens))
		if err != nil {
			return parts[:i+1], verdict.Wrap(err, verdict.NotRun, verdict.ReasonUpstream, "cannot reserve memory on upstream %s", part.Name)
		}
		if !response.Granted {
			return parts[:i], verdict.Refuse(verdict.ReasonNoUpstream, spanRetryAfter, "upstream %s has no memory free for its part", part.Name)
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

// renewAll renews the reservations until ctx ends. A failed renewal is retried in the
// next round, well before the lease expires.
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

// releaseAll frees the parts. The canceller repeats each release until the engine has
// confirmed it; if none of the messages arrive, the lease expires.
func (s *sender) releaseAll(action *dispatch.Action, parts []dispatch.Part) {
	for _, part := range parts {
		s.canceller.add(part, action.Request.ID, action.Attempt)
	}
}
