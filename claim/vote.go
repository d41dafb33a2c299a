package claim

import "time"

// vote answers a request for this voter's vote.
func (v *Voter) vote(now time.Time, m Message) {
	r := v.reply(m, VoteResponse)
	old := v.table.get(m.Key)
	if old != nil && old.expired(now, v.cfg.Lifetime) {
		v.table.remove(m.Key)
		v.forget(now.Add(-v.cfg.Lifetime))
		old = nil
	}
	switch {
	case v.outdated(now, m.Key):
		r.Answer = Refused
	case old != nil && old.Outcome.Kind == Done:
		// Known at any epoch, and never untrue later.
		r.Answer, r.Other, r.Outcome = Held, old.Holder, old.Outcome
	case m.Epoch != v.epoch().Number || !v.mayVote():
		r.Answer = Abstained
	case old == nil && v.table.count >= v.cfg.MaxVotes:
		r.Answer = Abstained
	case old == nil, old.Outcome.Kind == Released && old.Holder != m.Holder:
		v.store(Vote{Key: m.Key, Holder: m.Holder, At: now})
		r.Answer = Granted
	case old.Outcome.Kind == Released:
		// A late copy of a request whose holder has given up.
		r.Answer = Abstained
	case old.Holder == m.Holder:
		r.Answer = Granted
	default:
		r.Answer, r.Other = Held, old.Holder
	}
	v.messages = append(v.messages, r)
}

// outdated reports whether a key that carries its time is past its lifetime, or
// so far ahead that its lifetime would not end.
func (v *Voter) outdated(now time.Time, k Key) bool {
	at, ok := k.madeAt()
	return ok && (now.Sub(at) > v.cfg.Lifetime || at.Sub(now) > v.cfg.MaxAhead || at.Before(v.state.Forgotten))
}

// settle stores what became of a claim. That a request ran is stored whoever
// has this voter's vote: the holder that says so has won at other voters. A
// release counts only for the holder itself.
func (v *Voter) settle(now time.Time, m Message) {
	old := v.table.get(m.Key)
	switch {
	case old != nil && old.Outcome.Kind == Done:
	case m.Outcome.Kind == Done:
		if old != nil || v.table.count < v.cfg.MaxVotes {
			v.store(Vote{Key: m.Key, Holder: m.Holder, Outcome: m.Outcome, At: now})
		}
	case m.Outcome.Kind == Released && old == nil:
		// The release overtook the request: remembered, so that the late request
		// does not take the key for a holder that is gone.
		if v.table.count < v.cfg.MaxVotes {
			v.store(Vote{Key: m.Key, Holder: m.Holder, Outcome: Outcome{Kind: Released}, At: now})
		}
	case m.Outcome.Kind == Released && old.Holder == m.Holder && old.Outcome.Kind == Pending:
		v.store(Vote{Key: m.Key, Holder: m.Holder, Outcome: Outcome{Kind: Released}, At: now})
	}
	v.messages = append(v.messages, v.reply(m, SettleResponse))
}
