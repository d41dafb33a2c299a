package claim

import (
	"slices"
	"time"

	"celeryport/consensus"
)

// settleAttempts limits how often an outcome is sent. Voters that never receive it
// keep the key as claimed, and duplicates are told that the request may have run.
const settleAttempts = 10

// releaseAttempts limits how often the release of an abandoned claim is sent. Voters that are silent for a
// moment must still get it, or the key stays claimed although nothing ran.
const releaseAttempts = 8

// settlement sends the outcome of a claim to the voters.
type settlement struct {
	outcome      Outcome
	attemptsLeft int
	next         time.Time
	confirmed    []consensus.ID
}

// Settle records the outcome of a claim that was won. Only the first call has an
// effect. Released requires proof that the request did not run.
func (c *Claimant) Settle(now time.Time, o Outcome) []Message {
	if c.state != Won || c.delivery.attemptsLeft > 0 || o.Kind == Pending {
		return nil
	}
	if len(o.Answer) > MaxAnswer {
		o.Answer = nil
	}
	if o.Kind == Released {
		c.state, c.outcome = Lost, o // the holder must not send any more
	}
	c.delivery = settlement{outcome: o, attemptsLeft: settleAttempts}
	return c.delivery.tick(c, now)
}

// Settled reports whether the outcome is no longer being sent, because all voters
// have confirmed it or the attempts are used up.
func (c *Claimant) Settled() bool {
	return c.delivery.outcome.Kind != Pending && c.delivery.next.IsZero()
}

func (s *settlement) confirm(from consensus.ID, current bool) {
	if current && !slices.Contains(s.confirmed, from) {
		s.confirmed = append(s.confirmed, from)
	}
}

func (s *settlement) tick(c *Claimant, now time.Time) []Message {
	if s.outcome.Kind == Pending || now.Before(s.next) {
		return nil
	}
	if s.attemptsLeft == 0 || len(s.confirmed) == len(c.request.Epoch.Voters) {
		s.next = time.Time{}
		return nil
	}
	s.attemptsLeft--
	s.next = now.Add(c.request.Resend)
	var messages []Message
	for _, id := range c.request.Epoch.Voters {
		if !slices.Contains(s.confirmed, id) {
			messages = append(messages, c.message(SettleRequest, id, c.request.Holder, s.outcome))
		}
	}
	return messages
}
