package entry

import (
	"net/http"
	"time"

	"celeryport/claim"
	"celeryport/control"
	"celeryport/verdict"
)

// splitRetryAfter is the Retry-After of a claim that no request won.
const splitRetryAfter = 50 * time.Millisecond

// claim asks the voters for the right to send a request that may not be repeated. It
// returns nil if the request may be sent; otherwise the exchange ends with the
// returned result. Requests without an idempotency key need no claim: other instances
// can't recognise a duplicate of them, and this instance sends each only once.
func (s *sender) claim(e *exchange) *result {
	if !e.request.NoRepeat || e.request.Key == "" || e.holdsClaim() {
		return nil
	}
	got := s.options.Plane.Claim(e.ctx, claimKey(e), s.options.claimHolder(e.request.ID))
	if got.State == control.Won {
		return s.claimWon(e)
	}
	r := claimFailure(got)
	return &r
}

// claimWon records that the exchange holds the claim. If the exchange ended while the
// claim was pending, it releases the claim, since nothing was or will be sent.
func (s *sender) claimWon(e *exchange) *result {
	if e.markClaimed() {
		return nil
	}
	s.releaseClaim(e)
	r := result{err: verdict.Refuse(verdict.ReasonTimeout, 0, "ended before it was sent")}
	return &r
}

func claimKey(e *exchange) claim.Key {
	return claim.Key{Organisation: e.request.Organisation, Key: e.request.Key}
}

func claimFailure(got control.ClaimResult) result {
	switch got.State {
	case control.Lost:
		return duplicateResult(got.Outcome)
	case control.Split:
		return result{err: verdict.Refuse(verdict.ReasonNoQuorum, splitRetryAfter, "another request with this key is being decided")}
	case control.Expired:
		return result{err: verdict.New(verdict.MayHaveRun, verdict.ReasonKeyExpired, "the idempotency key is older than its lifetime")}
	default:
		return result{err: verdict.Refuse(verdict.ReasonNoQuorum, time.Second, "no majority of voters can be reached")}
	}
}

// duplicateResult answers a request whose key is held by another request, with the
// known outcome of that request.
func duplicateResult(known claim.Outcome) result {
	if known.Kind != claim.Done {
		return result{err: verdict.New(verdict.MayHaveRun, verdict.ReasonDuplicate, "a request with this key may have run")}
	}
	if known.Status == http.StatusOK && len(known.Answer) > 0 {
		return result{storedAnswer: known.Answer}
	}
	return result{err: verdict.New(verdict.Ran, verdict.ReasonDuplicate, "a request with this key has run")}
}

// settle reports the outcome of a claimed request to the voters. If it is unknown
// whether the request ran, the claim stays held for its lifetime, unless its last send
// proves later that it did not.
func (s *sender) settle(e *exchange) {
	if !e.holdsClaim() {
		return
	}
	outcome := e.outcome()
	switch outcome.verdict() {
	case verdict.NotRun:
		s.releaseClaim(e)
	case verdict.Ran:
		s.options.Plane.Settle(claimKey(e), s.options.claimHolder(e.request.ID), doneOutcome(&outcome))
	default:
	}
}

func (s *sender) releaseClaim(e *exchange) {
	s.options.Plane.Settle(claimKey(e), s.options.claimHolder(e.request.ID), claim.Outcome{Kind: claim.Released})
}

func doneOutcome(r *result) claim.Outcome {
	done := claim.Outcome{Kind: claim.Done, Status: http.StatusOK}
	if r.service == nil {
		return done
	}
	done.Status = r.service.Status
	if len(r.service.Body) <= claim.MaxAnswer {
		done.Answer = r.service.Body
	}
	return done
}
