package claim

import (
	"math/rand/v2"
	"time"

	"celeryport/consensus"
)

// State is the state of a claim.
type State uint8

const (
	// Undecided means that the voters have not decided the claim yet.
	Undecided State = iota
	// Won means that this holder, and no other, may send before the deadline.
	Won
	// Lost means that another holder has the key or may have it.
	Lost
	// Split means that several holders divided the votes until the deadline and
	// none of them could have won.
	Split
	// Expired means that the key is older than its lifetime.
	Expired
	// NoMajority means that too few voters answered in time.
	NoMajority
)

// Result is the state of a claim and, if it is Lost, the known outcome.
type Result struct {
	State   State
	Outcome Outcome
}

// Request configures a Claimant.
type Request struct {
	Instance consensus.ID // sender of the claimant's messages
	Key      Key
	Holder   Holder
	Epoch    Epoch
	Deadline time.Time     // deadline of the caller's request on the monotonic clock; nothing is sent after it
	Resend   time.Duration // interval at which requests to voters that have not answered are resent
	Backoff  time.Duration // mean delay before a new attempt after split votes
	Rand     *rand.Rand
}

// Claimant runs one claim. It is a deterministic state machine and not safe for
// concurrent use.
//
// Invariant: a claimant is Won only while a majority of one epoch holds its vote
// and its deadline has not passed. The deadline is much shorter than the
// lifetime of a key. A process that was suspended and resumes after the voters
// dropped the key therefore finds its deadline passed. Once an attempt is
// released, the claimant never sends for it. A new attempt has its own holder, so
// that a delayed release of the previous attempt can't free the new one.
type Claimant struct {
	request   Request
	state     State
	outcome   Outcome
	responses map[consensus.ID]Message
	rounds    int // number of request rounds so far
	resendAt  time.Time
	retryAt   time.Time // start of the next attempt; zero if none is scheduled
	wait      outcomeWait
	delivery  settlement
}

// maxRounds limits the number of request rounds. Without a majority, the caller
// learns after maxRounds times Resend that nothing ran, and may try elsewhere. Its
// own deadline may be minutes away.
const maxRounds = 8

// NewClaimant returns a claimant that has not sent any messages yet.
func NewClaimant(r Request) *Claimant {
	return &Claimant{request: r, responses: map[consensus.ID]Message{}}
}

// Start requests the votes and returns the messages to send.
func (c *Claimant) Start(now time.Time) []Message { return c.requestVotes(now) }

// Result returns the current state of the claim.
func (c *Claimant) Result() Result { return Result{c.state, c.outcome} }

// MaySend reports whether the holder may send at now. It must be called
// immediately before sending, with a clock read after any wait.
func (c *Claimant) MaySend(now time.Time) bool {
	return c.state == Won && now.Before(c.request.Deadline)
}

// Epoch returns the number of the epoch whose votes the claimant counts.
func (c *Claimant) Epoch() uint64 { return c.request.Epoch.Number }

// Step processes a voter's response and returns the messages to send.
func (c *Claimant) Step(now time.Time, m Message) []Message {
	if m.Key != c.request.Key || m.To != c.request.Instance {
		return nil
	}
	switch m.Kind {
	case VoteResponse:
		return c.handleVoteResponse(now, m)
	case SettleResponse:
		c.delivery.confirm(m.From, m.Holder == c.request.Holder)
	}
	return nil
}

func (c *Claimant) handleVoteResponse(now time.Time, m Message) []Message {
	if m.Holder != c.request.Holder || c.state != Undecided || !c.retryAt.IsZero() {
		if m.Answer == Granted && c.abandoned(m.Holder) {
			// The voter granted the vote after the release was sent. Release it again.
			return []Message{c.message(SettleRequest, m.From, m.Holder, Outcome{Kind: Released})}
		}
		return nil
	}
	if m.Answer == Held && m.Outcome.Kind == Done {
		return c.finish(now, Lost, m.Outcome)
	}
	if m.Epoch != c.request.Epoch.Number || !c.request.Epoch.Has(m.From) {
		return nil // does not count; the voter is asked again after Resend
	}
	if !now.Before(c.request.Deadline) {
		return c.timeout(now)
	}
	c.responses[m.From] = m
	c.wait.answered = c.wait.answered || m.Answer == Held
	return c.decide(now)
}

// abandoned reports whether a holder is an attempt of this claim that will never
// send.
func (c *Claimant) abandoned(h Holder) bool {
	if h == c.request.Holder {
		return c.state != Undecided && c.state != Won || !c.retryAt.IsZero()
	}
	h.Attempt = c.request.Holder.Attempt
	return h == c.request.Holder
}

// Tick processes timers that have expired and returns the messages to send.
func (c *Claimant) Tick(now time.Time) []Message {
	if c.state != Undecided {
		return c.delivery.tick(c, now)
	}
	if !now.Before(c.request.Deadline) {
		return c.timeout(now)
	}
	if !c.retryAt.IsZero() && !now.Before(c.retryAt) {
		c.retryAt = time.Time{}
		c.request.Holder.Attempt++
		clear(c.responses)
		return c.requestVotes(now)
	}
	if c.awaitsOutcome() {
		return c.tickOutcomeWait(now)
	}
	if !c.retryAt.IsZero() || now.Before(c.resendAt) {
		return nil
	}
	if t := c.tally(); t.heldByOther() {
		// A voter that does not answer could decide between the holders.
		// Waiting for it would block the key for all of them.
		return c.scheduleRetry(now)
	}
	if c.rounds >= maxRounds {
		return c.timeout(now)
	}
	return c.requestVotes(now)
}

// NextTick returns the time of the next required Tick, or zero if none is needed.
func (c *Claimant) NextTick() time.Time {
	if c.state != Undecided {
		return c.delivery.next
	}
	next := c.resendAt
	if !c.retryAt.IsZero() {
		next = c.retryAt
	}
	if c.request.Deadline.Before(next) {
		next = c.request.Deadline
	}
	if c.awaitsOutcome() && c.wait.limit.Before(next) {
		next = c.wait.limit
	}
	return next
}

// Reconfigure continues the claim with a new set of voters. Votes of different
// epochs are not counted together, so the attempt is released and a new one starts.
func (c *Claimant) Reconfigure(now time.Time, e Epoch) []Message {
	if e.Number <= c.request.Epoch.Number {
		return nil
	}
	if c.state != Undecided {
		c.request.Epoch = e // outcomes are sent to the new voters too
		return nil
	}
	released := c.release()
	c.request.Epoch = e
	// The new voters may have copied the vote that the old voters release.
	released = append(released, c.release()...)
	c.request.Holder.Attempt++
	c.retryAt = time.Time{}
	clear(c.responses)
	return append(released, c.requestVotes(now)...)
}

// requestVotes sends vote requests to all voters that have not granted their vote.
func (c *Claimant) requestVotes(now time.Time) []Message {
	c.rounds++
	c.resendAt = now.Add(c.request.Resend)
	var messages []Message
	for _, id := range c.request.Epoch.Voters {
		if c.responses[id].Answer != Granted {
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
