package claim

import "time"

// maxAttempts bounds how often a claimant starts again after split votes, so
// that its caller hears of it at once and not at the deadline.
const maxAttempts = 4

// tally counts the answers of an epoch's voters.
type tally struct {
	granted, refused, open int // open: no answer, or abstained
	unknown                int // held, by whom is not known
	others                 []otherHolder
}

type otherHolder struct {
	holder Holder
	votes  int
}

func (c *Claimant) tally() tally {
	var t tally
	for _, id := range c.request.Epoch.Voters {
		m, answered := c.answers[id]
		switch {
		case !answered || m.Answer == Abstained:
			t.open++
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
	for i := range t.others {
		if t.others[i].holder == h {
			t.others[i].votes++
			return
		}
	}
	t.others = append(t.others, otherHolder{h, 1})
}

// best returns the most votes that any other holder is known to have.
func (t *tally) best() int {
	most := 0
	for _, o := range t.others {
		most = max(most, o.votes)
	}
	return most
}

// held reports whether any voter's vote belongs to another holder.
func (t *tally) held() bool { return t.best() > 0 || t.unknown > 0 }

// decide ends the attempt once the answers allow it.
func (c *Claimant) decide(now time.Time) []Message {
	t, majority := c.tally(), c.request.Epoch.Majority()
	switch {
	case t.granted >= majority:
		c.state = Won
		return nil
	case t.refused >= majority || t.refused > 0 && t.granted+t.open < majority && t.best() == 0:
		return c.end(now, Expired, Outcome{})
	case t.best()+t.unknown >= majority:
		return c.end(now, Lost, Outcome{})
	case t.granted+t.open < majority && (t.open == 0 || !c.lastAttempt()):
		// In the last attempt, the answers that are open decide what the caller
		// is told; Tick ends it.
		return c.retryLater(now)
	}
	return nil
}

func (c *Claimant) lastAttempt() bool { return c.request.Holder.Attempt+1 >= maxAttempts }

// retryLater gives the votes back and plans another attempt, so that holders
// that divided the votes don't block the key for each other. The wait is drawn
// at random; else they would meet again.
func (c *Claimant) retryLater(now time.Time) []Message {
	if c.lastAttempt() {
		return c.timeout(now)
	}
	wait := c.request.Backoff/2 + time.Duration(c.request.Rand.Int64N(int64(c.request.Backoff)))
	c.retryAt = now.Add(wait)
	return c.release()
}

// timeout ends the claim at its deadline or after its last attempt. Split is said only when no other
// holder can have a majority, counting every voter whose vote is not known as
// its own; otherwise the key may run elsewhere.
func (c *Claimant) timeout(now time.Time) []Message {
	t, majority := c.tally(), c.request.Epoch.Majority()
	switch {
	case t.held() && t.best()+t.unknown+t.open+t.refused >= majority:
		return c.end(now, Lost, Outcome{})
	case t.held():
		return c.end(now, Split, Outcome{})
	}
	return c.end(now, NoMajority, Outcome{})
}

// end gives up the claim and frees its votes.
func (c *Claimant) end(now time.Time, s State, o Outcome) []Message {
	c.state, c.outcome = s, o
	c.settle = settlement{outcome: Outcome{Kind: Released}, left: releaseAttempts}
	return c.settle.tick(c, now)
}

// release frees the votes of an attempt that has sent nothing and never will. It
// goes to every voter, because one may have granted its vote in an answer that
// is still on its way.
func (c *Claimant) release() []Message {
	var messages []Message
	for _, id := range c.request.Epoch.Voters {
		messages = append(messages, c.message(SettleRequest, id, c.request.Holder, Outcome{Kind: Released}))
	}
	return messages
}
