package claim

import "time"

// maxAttempts limits the number of attempts after split votes, so that the caller
// is informed promptly and not only at its deadline.
const maxAttempts = 4

// tally counts the responses of an epoch's voters.
type tally struct {
	granted, refused, undecided int // undecided: no answer, or abstained
	unknown                     int // held by an unknown holder
	otherHolders                []otherHolder
}

type otherHolder struct {
	holder Holder
	votes  int
}

func (c *Claimant) tally() tally {
	var t tally
	for _, id := range c.request.Epoch.Voters {
		m, answered := c.responses[id]
		switch {
		case !answered || m.Answer == Abstained:
			t.undecided++
		case m.Answer == Granted:
			t.granted++
		case m.Answer == Refused:
			t.refused++
		case m.Other == Holder{}:
			t.unknown++
		default:
			t.add(m.Other)
		}
	}
	return t
}

func (t *tally) add(h Holder) {
	for i := range t.otherHolders {
		if t.otherHolders[i].holder == h {
			t.otherHolders[i].votes++
			return
		}
	}
	t.otherHolders = append(t.otherHolders, otherHolder{h, 1})
}

// mostVotes returns the highest number of votes known to belong to a single other
// holder.
func (t *tally) mostVotes() int {
	most := 0
	for _, o := range t.otherHolders {
		most = max(most, o.votes)
	}
	return most
}

// heldByOther reports whether any voter's vote belongs to another holder.
func (t *tally) heldByOther() bool { return t.mostVotes() > 0 || t.unknown > 0 }

// decide ends the attempt once the responses determine the result.
func (c *Claimant) decide(now time.Time) []Message {
	t, majority := c.tally(), c.request.Epoch.Majority()
	switch {
	case t.granted >= majority:
		c.state = Won
		return nil
	case t.refused >= majority || t.refused > 0 && t.granted+t.undecided < majority && t.mostVotes() == 0:
		return c.finish(now, Expired, Outcome{})
	case t.heldByMajority(&c.request.Epoch):
		return c.awaitOutcome(now)
	case t.granted+t.undecided < majority && (t.undecided == 0 || !c.lastAttempt()):
		// In the last attempt, wait for the remaining responses, because they
		// determine the result reported to the caller. Tick ends the attempt.
		return c.scheduleRetry(now)
	}
	return nil
}

func (c *Claimant) lastAttempt() bool { return c.request.Holder.Attempt+1 >= maxAttempts }

// scheduleRetry releases the votes and schedules another attempt, so that holders
// that divided the votes do not block the key for each other. The delay is random
// so that their next attempts do not collide again.
func (c *Claimant) scheduleRetry(now time.Time) []Message {
	if c.lastAttempt() {
		return c.timeout(now)
	}
	wait := c.request.Backoff/2 + time.Duration(c.request.Rand.Int64N(int64(c.request.Backoff)))
	c.retryAt = now.Add(wait)
	return c.release()
}

// timeout ends the claim at its deadline or after its last attempt. The result is
// Split only if no other holder can have a majority, even if it has every vote
// that is not known. Otherwise the request may run elsewhere and the result is
// Lost.
func (c *Claimant) timeout(now time.Time) []Message {
	t, majority := c.tally(), c.request.Epoch.Majority()
	switch {
	case t.heldByOther() && t.mostVotes()+t.unknown+t.undecided+t.refused >= majority:
		return c.finish(now, Lost, Outcome{})
	case t.heldByOther():
		return c.finish(now, Split, Outcome{})
	}
	return c.finish(now, NoMajority, Outcome{})
}

// Abandon ends an undecided claim whose caller has gone, so that it is not won later, and releases its votes.
func (c *Claimant) Abandon(now time.Time) []Message {
	if c.state != Undecided {
		return nil
	}
	return c.timeout(now)
}

// finish ends the claim and releases its votes.
func (c *Claimant) finish(now time.Time, s State, o Outcome) []Message {
	c.state, c.outcome = s, o
	c.delivery = settlement{outcome: Outcome{Kind: Released}, attemptsLeft: releaseAttempts}
	return c.delivery.tick(c, now)
}

// release releases the votes of an attempt that has sent nothing and never will.
// It is sent to every voter, because a voter may have granted its vote in a
// response that has not arrived yet.
func (c *Claimant) release() []Message {
	var messages []Message
	for _, id := range c.request.Epoch.Voters {
		messages = append(messages, c.message(SettleRequest, id, c.request.Holder, Outcome{Kind: Released}))
	}
	return messages
}
