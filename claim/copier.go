package claim

import (
	"slices"
	"time"

	"celeryport/consensus"
)

// copier brings a voter's votes up to a new epoch.
//
// What goes wrong without it: a claim is won at voters A and B of A, B, C. B is
// replaced by D, whose votes are empty; C and D are a majority of A, C, D and
// give the same key to another holder: it runs twice.
//
// So a voter that enters an epoch stops voting in the earlier ones, and votes in
// the new one only after it has copied the votes of enough previous voters to
// share one with each of their majorities. Each of these must have entered the
// epoch itself, so it gives no vote in the earlier one after the copy, and must
// be complete up to the previous epoch. One voter that is complete in the epoch
// already will do alone.
//
// Epochs are completed in order, so that two quick changes don't leave everyone
// waiting for each other.
type copier struct {
	target   Epoch                   // being completed; Number zero: none
	from     map[consensus.ID]*parts // what was received of each voter
	finished map[consensus.ID]uint64 // voters copied whole, with how far they were complete at least
}

// parts are the buckets received from one voter. complete is the lowest epoch
// up to which the voter was complete while it sent them.
type parts struct {
	got      [buckets]bool
	count    int
	complete uint64
}

// epoch returns the epoch that the voter entered last.
func (v *Voter) epoch() Epoch {
	if len(v.state.Entered) == 0 {
		return Epoch{}
	}
	return v.state.Entered[len(v.state.Entered)-1]
}

// mayVote reports whether the voter belongs to its epoch and knows every claim
// of the earlier ones.
func (v *Voter) mayVote() bool {
	e := v.epoch()
	return e.Number > 0 && v.state.Complete == e.Number && e.Has(v.cfg.ID)
}

// Enter tells the voter of an epoch. Epochs must come in order; one that the
// voter knows already is ignored.
func (v *Voter) Enter(now time.Time, e Epoch) {
	now = now.Round(0)
	if e.Number <= v.epoch().Number {
		return
	}
	v.state.Entered = append(slices.Clone(v.state.Entered), e)
	v.state.Since = now
	if len(e.Previous) == 0 && !e.Reset && e.Has(v.cfg.ID) {
		v.state.Complete = e.Number // the first epoch: nothing was claimed before
	}
	v.storeState()
	before := v.copier.target.Number
	v.copier.begin(v)
	if v.copier.target.Number != before {
		v.copier.ask(v) // else it has asked already
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

// begin looks for the first epoch that is not complete.
func (c *copier) begin(v *Voter) {
	next := Epoch{}
	for _, e := range v.state.Entered {
		if e.Number > v.state.Complete && !e.Reset {
			next = e
			break
		}
	}
	if c.from == nil || next.Number != c.target.Number {
		*c = copier{target: next, from: map[consensus.ID]*parts{}, finished: map[consensus.ID]uint64{}}
	}
}

// ask requests a part that is missing from every voter that may have it. It is
// called again from time to time, because messages get lost.
func (c *copier) ask(v *Voter) {
	if c.target.Number == 0 {
		return
	}
	for _, id := range c.sources(v) {
		if _, done := c.finished[id]; id != v.cfg.ID && !done {
			c.askNext(v, id)
		}
	}
	c.decide(v)
}

// askNext requests one part of a voter's votes. One at a time: a full table has
// some three megabytes in each, and all at once would take a voter's memory.
func (c *copier) askNext(v *Voter, id consensus.ID) {
	bucket := 0
	if p := c.from[id]; p != nil {
		bucket = slices.Index(p.got[:], false)
	}
	v.messages = append(v.messages, Message{
		Kind: CopyRequest, From: v.cfg.ID, To: id, Epoch: c.target.Number, Bucket: bucket,
	})
}

// sources returns the previous voters, and those of the newest epoch, which may
// be complete already.
func (c *copier) sources(v *Voter) []consensus.ID {
	ids := slices.Concat(c.target.Previous, c.target.Voters, v.epoch().Voters)
	slices.Sort(ids)
	return slices.Compact(ids)
}

// sendCopy answers with one part, once this voter has entered the epoch itself.
func (v *Voter) sendCopy(m Message) {
	if v.epoch().Number < m.Epoch || m.Bucket < 0 || m.Bucket >= buckets {
		return
	}
	r := v.reply(m, CopyResponse)
	r.Epoch, r.Complete, r.Bucket = m.Epoch, v.state.Complete, m.Bucket
	r.Votes, r.Forgotten = v.table.bucket(m.Bucket), v.state.Forgotten
	for i := range r.Votes {
		r.Votes[i].Outcome.Answer = nil // the outcome counts; the bytes would be many
	}
	v.messages = append(v.messages, r)
}

func (c *copier) receive(v *Voter, now time.Time, m Message) {
	if m.Epoch != c.target.Number || c.target.Number == 0 || m.Bucket < 0 || m.Bucket >= buckets {
		return
	}
	if m.Complete < c.target.PreviousNumber {
		return // it does not know the earlier epochs itself yet
	}
	p := c.from[m.From]
	if p == nil {
		p = &parts{complete: m.Complete}
		c.from[m.From] = p
	}
	if p.got[m.Bucket] {
		return
	}
	p.got[m.Bucket] = true
	p.count++
	p.complete = min(p.complete, m.Complete)
	v.forget(m.Forgotten)
	for _, vote := range m.Votes {
		v.adopt(now, vote)
	}
	if p.count < buckets {
		c.askNext(v, m.From)
		return
	}
	c.finished[m.From] = p.complete
	c.decide(v)
}

// adopt merges another voter's vote into the table, the limit notwithstanding:
// a voter that leaves one out could give the key away again.
func (v *Voter) adopt(now time.Time, vote Vote) {
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

// decide completes the epoch once enough voters were copied.
func (c *copier) decide(v *Voter) {
	if c.target.Number == 0 || !c.enough(v) {
		return
	}
	v.state.Complete = c.target.Number
	v.storeState()
	c.begin(v)
	c.ask(v)
}

func (c *copier) enough(v *Voter) bool {
	known := 0
	for _, id := range c.target.Previous {
		if _, ok := c.finished[id]; ok {
			known++
		}
		if id == v.cfg.ID && v.state.Complete >= c.target.PreviousNumber {
			known++ // its own votes
		}
	}
	for _, complete := range c.finished {
		if complete >= c.target.Number {
			return true
		}
	}
	return len(c.target.Previous) > 0 && known >= c.target.readQuorum()
}

// finishReset completes an epoch after a disaster, when no key of before can be
// fresh any more.
func (v *Voter) finishReset(now time.Time) {
	e := v.epoch()
	if !e.Reset || v.state.Complete >= e.Number || now.Sub(v.state.Since) <= v.cfg.Lifetime+v.cfg.MaxAhead {
		return
	}
	v.state.Complete = e.Number
	v.storeState()
	v.copier.begin(v)
}
