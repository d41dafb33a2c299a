package entry

import (
	"net/http"
	"time"

	"celeryport/claim"
	"celeryport/control"
	"celeryport/verdict"
)

// splitRetry is when a claim that nobody won may be asked for again.
const splitRetry = 50 * time.Millisecond

// claim asks the voters for the right to send a request that may not be
// repeated. Nil means that it may be sent; otherwise the exchange ends with the
// result. Requests without a key need no claim: no other instance can know that
// a second one is the same, and this instance sends only once.
func (s *sender) claim(e *exchange) *result {
	if !e.request.NoRepeat || e.request.Key == "" || e.holdsClaim() {
		return nil
	}
	got := s.options.Plane.Claim(e.ctx, claimKey(e), s.options.holder(e.request.ID))
	if got.State == control.Won {
		return s.won(e)
	}
	r := notWon(got)
	return &r
}

// won notes the claim. If the exchange ended while it was asked for, the claim
// is given back, since nothing was or will be sent.
func (s *sender) won(e *exchange) *result {
	if e.setClaimed() {
		return nil
	}
	s.release(e)
	r := result{err: verdict.Refuse(verdict.ReasonTimeout, 0, "ended before it was sent")}
	return &r
}

func claimKey(e *exchange) claim.Key {
	return claim.Key{Organisation: e.request.Organisation, Key: e.request.Key}
}

func notWon(got control.ClaimResult) result {
	switch got.State {
	case control.Lost:
		return duplicate(got.Outcome)
	case control.Split:
		return result{err: verdict.Refuse(verdict.ReasonNoQuorum, splitRetry, "another request with this key is being decided")}
	case control.Expired:
		return result{err: verdict.New(verdict.MayHaveRun, verdict.ReasonKeyExpired, "the idempotency key is older than its lifetime")}
	default:
		return result{err: verdict.Refuse(verdict.ReasonNoQuorum, time.Second, "no majority of voters can be reached")}
	}
}

// duplicate answers a request whose key another request holds, with what is
// known of that one.
func duplicate(known claim.Outcome) result {
	if known.Kind != claim.Done {
		return result{err: verdict.New(verdict.MayHaveRun, verdict.ReasonDuplicate, "a request with this key may have run")}
	}
	if known.Status == http.StatusOK && len(known.Answer) > 0 {
		return result{stored: known.Answer}
	}
	return result{err: verdict.New(verdict.Ran, verdict.ReasonDuplicate, "a request with this key has run")}
}

// settle tells the voters how a claimed request ended. An end that leaves open
// whether it ran keeps the claim for its lifetime.
func (s *sender) settle(e *exchange) {
	if !e.holdsClaim() {
		return
	}
	outcome := e.outcome()
	switch outcome.verdict() {
	case verdict.NotRun:
		s.release(e)
	case verdict.Ran:
		s.options.Plane.Settle(claimKey(e), s.options.holder(e.request.ID), doneOutcome(&outcome))
	default:
	}
}

func (s *sender) release(e *exchange) {
	s.options.Plane.Settle(claimKey(e), s.options.holder(e.request.ID), claim.Outcome{Kind: claim.Released})
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
