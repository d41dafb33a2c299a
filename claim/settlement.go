package claim

import (
	"slices"
	"time"

	"celeryport/consensus"
)

// settleAttempts bounds how often an outcome is sent. Voters that never hear of
// it keep the key as claimed, and duplicates are told that it may have run.
const settleAttempts = 10

// releaseAttempts is the same for a claim that was given up.
const releaseAttempts = 3

// settlement tells the voters the outcome of a claim that was won.
type settlement struct {
	outcome   Outcome
	left      int
	next      time.Time
	confirmed []consensus.ID
}

// Settle records the outcome of a claim that was won, once. Released needs a
// proof that the request did not run.
func (c *Claimant) Settle(now time.Time, o Outcome) []Message {
	if c.state != Won || c.settle.left > 0 || o.Kind == Pending {
		return nil
	}
	if len(o.Answer) > MaxAnswer {
		o.Answer = nil
	}
	if o.Kind == Released {
		c.state, c.outcome = Lost, o // it may not send any more
	}
	c.settle = settlement{outcome: o, left: settleAttempts}
	return c.settle.tick(c, now)
}

// Settled reports whether a majority has stored the outcome, or the claimant has
// given up telling it.
func (c *Claimant) Settled() bool {
	return c.settle.outcome.Kind != Pending && c.settle.next.IsZero()
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
	if s.left == 0 || len(s.confirmed) == len(c.request.Epoch.Voters) {
		s.next = time.Time{}
		return nil
	}
	s.left--
	s.next = now.Add(c.request.Resend)
	var messages []Message
	for _, id := range c.request.Epoch.Voters {
		if !slices.Contains(s.confirmed, id) {
			messages = append(messages, c.message(SettleRequest, id, c.request.Holder, s.outcome))
		}
	}
	return messages
}
