package claim

import (
	"math/rand/v2"
	"time"

	"celeryport/consensus"
)

// State says what came of a claim.
type State uint8

const (
	// Asking means that the voters have not decided yet.
	Asking State = iota
	// Won means that this holder, and no other, may send, before the deadline.
	Won
	// Lost means that another holder has the key, or may have it.
	Lost
	// Split means that several holders divided the votes until the deadline, and
	// none of them could have won.
	Split
	// Expired means that the key is older than its lifetime.
	Expired
	// NoMajority means that too few voters answered in time.
	NoMajority
)

// Result is the state of a claim and, when it is Lost, the known outcome.
type Result struct {
	State   State
	Outcome Outcome
}

// Request sets up a Claimant.
type Request struct {
	Instance consensus.ID // sender of the messages
	Key      Key
	Holder   Holder
	Epoch    Epoch
	Deadline time.Time     // of the caller's request, on the monotonic clock: nothing is sent after it
	Resend   time.Duration // unanswered voters are asked again so often
	Backoff  time.Duration // mean wait before a new attempt after split votes
	Rand     *rand.Rand
}

// Claimant drives one claim. It is a pure state machine and not safe for
// concurrent use.
//
// Invariant: it is Won only while a majority of one epoch holds its vote, and
// only before its deadline, which is far less than the lifetime of a key. So a
// process that is frozen and wakes after the voters forgot the key finds its
// deadline passed. Once it has released an attempt it never sends for it: a new
// attempt has a holder of its own, so that a late release of the old one can't
// free it.
type Claimant struct {
	request Request
	state   State
	outcome Outcome
	answers map[consensus.ID]Message
	asked   int // rounds of requests so far
	resend  time.Time
	retryAt time.Time // of the next attempt; zero: none planned
	settle  settlement
}

// maxRounds bounds how often voters are asked. Without a majority the caller
// hears after so many times Resend that nothing ran, and may try elsewhere; its
// own deadline may be minutes away.
const maxRounds = 8

// NewClaimant returns a claimant that has sent nothing yet.
func NewClaimant(r Request) *Claimant {
	return &Claimant{request: r, answers: map[consensus.ID]Message{}}
}

// Start returns the first messages.
func (c *Claimant) Start(now time.Time) []Message { return c.ask(now) }

// Result returns what came of the claim so far.
func (c *Claimant) Result() Result { return Result{c.state, c.outcome} }

// MaySend reports whether the holder may send at now. It must be asked right
// before sending, with a clock read after any wait.
func (c *Claimant) MaySend(now time.Time) bool {
	return c.state == Won && now.Before(c.request.Deadline)
}

// Epoch returns the number of the epoch that the claimant counts votes of.
func (c *Claimant) Epoch() uint64 { return c.request.Epoch.Number }

// Step takes in a voter's answer.
func (c *Claimant) Step(now time.Time, m Message) []Message {
	if m.Key != c.request.Key || m.To != c.request.Instance {
		return nil
	}
	switch m.Kind {
	case VoteResponse:
		return c.count(now, m)
	case SettleResponse:
		c.settle.confirm(m.From, m.Holder == c.request.Holder)
	}
	return nil
}

func (c *Claimant) count(now time.Time, m Message) []Message {
	if m.Holder != c.request.Holder || c.state != Asking || !c.retryAt.IsZero() {
		if m.Answer == Granted && c.givenUp(m.Holder) {
			// The vote was given after the release, which it must have overtaken.
			return []Message{c.message(SettleRequest, m.From, m.Holder, Outcome{Kind: Released})}
		}
		return nil
	}
	if m.Answer == Held && m.Outcome.Kind == Done {
		return c.end(now, Lost, m.Outcome)
	}
	if m.Epoch != c.request.Epoch.Number || !c.request.Epoch.Has(m.From) {
		return nil // of no use; it is asked again after Resend
	}
	if !now.Before(c.request.Deadline) {
		return c.timeout(now)
	}
	c.answers[m.From] = m
	return c.decide(now)
}

// givenUp reports whether a holder is an attempt of this claim that will never
// send.
func (c *Claimant) givenUp(h Holder) bool {
	if h == c.request.Holder {
		return c.state != Asking && c.state != Won || !c.retryAt.IsZero()
	}
	h.Attempt = c.request.Holder.Attempt
	return h == c.request.Holder
}

// Tick lets time pass.
func (c *Claimant) Tick(now time.Time) []Message {
	if c.state != Asking {
		return c.settle.tick(c, now)
	}
	if !now.Before(c.request.Deadline) {
		return c.timeout(now)
	}
	if !c.retryAt.IsZero() && !now.Before(c.retryAt) {
		c.retryAt = time.Time{}
		c.request.Holder.Attempt++
		clear(c.answers)
		return c.ask(now)
	}
	if !c.retryAt.IsZero() || now.Before(c.resend) {
		return nil
	}
	if t := c.tally(); t.held() {
		// A voter that does not answer could decide between the holders. Waiting
		// for it would block the key for everyone.
		return c.retryLater(now)
	}
	if c.asked >= maxRounds {
		return c.timeout(now)
	}
	return c.ask(now)
}

// NextTick returns when Tick must be called next; zero when there is no need.
func (c *Claimant) NextTick() time.Time {
	if c.state != Asking {
		return c.settle.next
	}
	next := c.resend
	if !c.retryAt.IsZero() {
		next = c.retryAt
	}
	if c.request.Deadline.Before(next) {
		next = c.request.Deadline
	}
	return next
}

// Reconfigure goes on with another set of voters. Votes of different epochs
// don't add up, so the attempt is released and a new one begins.
func (c *Claimant) Reconfigure(now time.Time, e Epoch) []Message {
	if e.Number <= c.request.Epoch.Number {
		return nil
	}
	if c.state != Asking {
		c.request.Epoch = e // outcomes go to the new voters too
		return nil
	}
	released := c.release()
	c.request.Epoch = e
	// The new voters may have copied the vote that the old ones are freeing.
	released = append(released, c.release()...)
	c.request.Holder.Attempt++
	c.retryAt = time.Time{}
	clear(c.answers)
	return append(released, c.ask(now)...)
}

// ask requests the votes of all voters that have not granted theirs.
func (c *Claimant) ask(now time.Time) []Message {
	c.asked++
	c.resend = now.Add(c.request.Resend)
	var messages []Message
	for _, id := range c.request.Epoch.Voters {
		if c.answers[id].Answer != Granted {
			messages = append(messages, c.message(VoteRequest, id, c.request.Holder, Outcome{}))
		}
	}
	return messages
}

func (c *Claimant) message(kind MessageKind, to consensus.ID, h Holder, o Outcome) Message {
	return Message{
		Kind: kind, From: c.request.Instance, To: to, Epoch: c.request.Epoch.Number,
		Key: c.request.Key, Holder: h, Outcome: o,
	}
}
