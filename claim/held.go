package claim

import "time"

const (
	// outcomeRounds is for how many rounds that voters answer a claimant waits for the outcome of the request that holds
	// its key. The outcome of a request that has just ended may still be on its way to the voters.
	outcomeRounds = 4
	// silentRounds limits this wait in intervals of Resend if voters stop answering. Their answers of before don't tell
	// whether the key is still held.
	silentRounds = 16
)

// outcomeWait is a claimant's wait for the outcome of the request that holds its key. It counts for all attempts.
type outcomeWait struct {
	limit    time.Time // zero if the wait has not begun
	last     bool      // the last round has begun
	answered bool      // a voter answered in this round that the key is held
	rounds   int       // number of former rounds in which one did
}

// begin begins the wait. It ends well before the deadline, so that the caller learns that its request may have run.
func (o *outcomeWait) begin(now time.Time, r *Request) {
	if o.limit.IsZero() {
		o.limit = now.Add(min(silentRounds*r.Resend, r.Deadline.Sub(now)/2))
	}
}

// endRound counts the round that ends.
func (o *outcomeWait) endRound() {
	if o.answered {
		o.rounds++
	}
	o.answered = false
}

// beginLast begins the last round. Without it, a process that was paused until after the limit would end the wait by
// answers of before its pause.
func (o *outcomeWait) beginLast(now time.Time, r *Request) {
	o.last = true
	o.limit = now.Add(min(r.Resend, r.Deadline.Sub(now)/2))
}

func (o *outcomeWait) over(now time.Time) bool {
	return o.rounds >= outcomeRounds || o.last && !now.Before(o.limit)
}

// heldByMajority reports whether another holder has a majority, or may have it.
func (t *tally) heldByMajority(e *Epoch) bool { return t.mostVotes()+t.unknown >= e.Majority() }

// awaitsOutcome reports whether the claim waits for the outcome of another holder's request.
func (c *Claimant) awaitsOutcome() bool {
	if c.state != Undecided || c.wait.limit.IsZero() || !c.retryAt.IsZero() {
		return false
	}
	t := c.tally()
	return t.heldByMajority(&c.request.Epoch)
}

// awaitOutcome keeps a claim undecided until its wait for the outcome of another holder's request is over.
func (c *Claimant) awaitOutcome(now time.Time) []Message {
	c.wait.begin(now, &c.request)
	if !c.wait.over(now) {
		return nil
	}
	return c.finish(now, Lost, Outcome{})
}

// tickOutcomeWait processes the timers of a claim that waits for an outcome.
func (c *Claimant) tickOutcomeWait(now time.Time) []Message {
	resend := !now.Before(c.resendAt)
	if resend {
		c.wait.endRound()
	}
	switch {
	case c.wait.over(now):
		return c.finish(now, Lost, Outcome{})
	case !now.Before(c.wait.limit):
		c.wait.beginLast(now, &c.request)
	case !resend:
		return nil
	}
	return c.requestVotes(now)
}
