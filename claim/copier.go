package claim

import (
	"slices"
	"time"

	"celeryport/consensus"
)

// copier copies the votes of previous voters to a voter that enters a new epoch.
//
// It prevents the following failure: a claim is won with the votes of A and B out
// of A, B and C. B is replaced by D, which has no votes. C and D are a majority of
// A, C and D, and grant the same key to another holder. The request runs twice.
//
// A voter that enters an epoch therefore stops voting in earlier epochs. It votes
// in the new one only after it has copied the votes of enough previous voters to
// have one in common with each majority of them. Each voter that it copies from
// must have entered the epoch itself, so that it grants no vote in an earlier
// epoch after the copy, and must be complete up to the previous epoch. A single
// voter that is already complete in the new epoch is sufficient.
//
// Epochs are completed in order, so that two changes in quick succession do not
// leave the voters waiting for each other.
type copier struct {
	target   Epoch                         // epoch being completed; Number is zero if there is none
	received map[consensus.ID]*partialCopy // buckets received from each voter
	copied   map[consensus.ID]uint64       // voters copied completely, with the epoch up to which each was at least complete
}

// partialCopy records the buckets received from one voter. complete is the lowest
// epoch up to which that voter was complete while it sent them.
type partialCopy struct {
	buckets  [bucketCount]bool
	count    int
	complete uint64
}

// epoch returns the epoch that the voter entered most recently.
func (v *Voter) epoch() Epoch {
	if len(v.state.Entered) == 0 {
		return Epoch{}
	}
	return v.state.Entered[len(v.state.Entered)-1]
}

// canVote reports whether the voter is a member of its current epoch and knows
// every claim of earlier epochs.
func (v *Voter) canVote() bool {
	e := v.epoch()
	return e.Number > 0 && v.state.Complete == e.Number && e.Has(v.cfg.ID)
}

// Enter starts a new epoch on the voter. Epochs must be entered in order; an epoch
// that the voter has already entered is ignored.
func (v *Voter) Enter(now time.Time, e Epoch) {
	now = now.Round(0)
	if e.Number <= v.epoch().Number {
		return
	}
	v.state.Entered = append(slices.Clone(v.state.Entered), e)
	v.state.Since = now
	if len(e.Previous) == 0 && !e.Reset && e.Has(v.cfg.ID) {
		v.state.Complete = e.Number // the first epoch: there are no earlier claims
	}
	v.storeState()
	before := v.copier.target.Number
	v.copier.selectTarget(v)
	if v.copier.target.Number != before {
		v.copier.requestCopies(v) // otherwise the requests were already sent
	}
}

func (v *Voter) storeState() {
	for len(v.state.Entered) > 1 && v.state.Entered[0].Number < v.state.Complete {
		v.state.Entered = v.state.Entered[1:]
	}
	state := v.state
	state.Entered = slices.Clone(state.Entered)
	v.records = append(v.records, Record{Epoch: &state})
}

// selectTarget selects the first epoch that is not complete.
func (c *copier) selectTarget(v *Voter) {
	next := Epoch{}
	for _, e := range v.state.Entered {
		if e.Number > v.state.Complete && !e.Reset {
			next = e
			break
		}
	}
	if c.received == nil || next.Number != c.target.Number {
		*c = copier{target: next, received: map[consensus.ID]*partialCopy{}, copied: map[consensus.ID]uint64{}}
	}
}

// requestCopies requests the next missing bucket from every voter that may have
// it. It is called repeatedly because messages may be lost.
func (c *copier) requestCopies(v *Voter) {
	if c.target.Number == 0 {
		return
	}
	for _, id := range c.sources(v) {
		if _, done := c.copied[id]; id != v.cfg.ID && !done {
			c.requestNextBucket(v, id)
		}
	}
	c.completeTarget(v)
}

// requestNextBucket requests one bucket of a voter's votes. Buckets are requested
// one at a time: with a full table each is about 3 MB, and all at once would
// exhaust a voter's memory.
func (c *copier) requestNextBucket(v *Voter, id consensus.ID) {
	bucket := 0
	if p := c.received[id]; p != nil {
		bucket = slices.Index(p.buckets[:], false)
	}
	v.messages = append(v.messages, Message{
		Kind: CopyRequest, From: v.cfg.ID, To: id, Epoch: c.target.Number, Bucket: bucket,
	})
}

// sources returns the previous voters and those of the target and newest epochs,
// which may already be complete.
func (c *copier) sources(v *Voter) []consensus.ID {
	ids := slices.Concat(c.target.Previous, c.target.Voters, v.epoch().Voters)
	slices.Sort(ids)
	return slices.Compact(ids)
}

// handleCopyRequest responds with one bucket if this voter has entered the epoch
// itself.
func (v *Voter) handleCopyRequest(m Message) {
	if v.epoch().Number < m.Epoch || m.Bucket < 0 || m.Bucket >= bucketCount {
		return
	}
	r := v.reply(m, CopyResponse)
	r.Epoch, r.Complete, r.Bucket = m.Epoch, v.state.Complete, m.Bucket
	r.Votes, r.DroppedBefore = v.table.bucket(m.Bucket), v.state.DroppedBefore
	for i := range r.Votes {
		r.Votes[i].Outcome.Answer = nil // the outcome is sufficient; the answers would be large
	}
	v.messages = append(v.messages, r)
}

func (c *copier) handleCopyResponse(v *Voter, now time.Time, m Message) {
	if m.Epoch != c.target.Number || c.target.Number == 0 || m.Bucket < 0 || m.Bucket >= bucketCount {
		return
	}
	if m.Complete < c.target.PreviousNumber {
		return // the sender is not complete up to the previous epoch
	}
	p := c.received[m.From]
	if p == nil {
		p = &partialCopy{complete: m.Complete}
		c.received[m.From] = p
	}
	if p.buckets[m.Bucket] {
		return
	}
	p.buckets[m.Bucket] = true
	p.count++
	p.complete = min(p.complete, m.Complete)
	v.recordDropped(m.DroppedBefore)
	for _, vote := range m.Votes {
		v.mergeVote(now, vote)
	}
	if p.count < bucketCount {
		c.requestNextBucket(v, m.From)
		return
	}
	c.copied[m.From] = p.complete
	c.completeTarget(v)
}

// mergeVote merges another voter's vote into the table, even if the table is full: a
// voter that omits a vote could grant the key to another holder.
func (v *Voter) mergeVote(now time.Time, vote Vote) {
	if vote.expired(now, v.cfg.Lifetime) {
		return
	}
	old := v.table.get(vote.Key)
	if old != nil {
		vote = merge(*old, vote)
	}
	if old == nil || vote.Holder != old.Holder || vote.Outcome.Kind != old.Outcome.Kind || !vote.At.Equal(old.At) {
		v.store(vote)
	}
}

// completeTarget completes the target epoch once enough voters were copied.
func (c *copier) completeTarget(v *Voter) {
	if c.target.Number == 0 || !c.copiedEnough(v) {
		return
	}
	v.state.Complete = c.target.Number
	v.storeState()
	c.selectTarget(v)
	c.requestCopies(v)
}

func (c *copier) copiedEnough(v *Voter) bool {
	available := 0
	for _, id := range c.target.Previous {
		if _, ok := c.copied[id]; ok {
			available++
		}
		if id == v.cfg.ID && v.state.Complete >= c.target.PreviousNumber {
			available++ // this voter's own votes
		}
	}
	for _, complete := range c.copied {
		if complete >= c.target.Number {
			return true
		}
	}
	return len(c.target.Previous) > 0 && available >= c.target.readQuorum()
}

// completeReset completes an epoch that followed a loss of all voters, once every
// key claimed before must have expired.
func (v *Voter) completeReset(now time.Time) {
	e := v.epoch()
	if !e.Reset || v.state.Complete >= e.Number || now.Sub(v.state.Since) <= v.cfg.Lifetime+v.cfg.MaxAhead {
		return
	}
	v.state.Complete = e.Number
	v.storeState()
	v.copier.selectTarget(v)
}
