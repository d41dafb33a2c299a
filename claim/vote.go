package claim

import "time"

// handleVoteRequest responds to a request for this voter's vote.
func (v *Voter) handleVoteRequest(now time.Time, m Message) {
	r := v.reply(m, VoteResponse)
	old := v.table.get(m.Key)
	if old != nil && old.expired(now, v.cfg.Lifetime) {
		v.table.remove(m.Key)
		v.recordDropped(now.Add(-v.cfg.Lifetime))
		old = nil
	}
	switch {
	case v.timestampRejected(now, m.Key):
		r.Answer = Refused
	case old != nil && old.Outcome.Kind == Done:
		// An outcome is valid in every epoch and never changes.
		r.Answer, r.Other, r.Outcome = Held, old.Holder, old.Outcome
	case m.Epoch != v.epoch().Number || !v.canVote():
		r.Answer = Abstained
	case v.releases.has(m.Key, m.Holder):
		r.Answer = Abstained // a delayed request
	case old == nil && v.table.count >= v.cfg.MaxVotes:
		r.Answer = Abstained
	case old == nil, old.Outcome.Kind == Released && old.Holder != m.Holder:
		v.store(Vote{Key: m.Key, Holder: m.Holder, At: now})
		r.Answer = Granted
	case old.Outcome.Kind == Released:
		// A delayed request of a holder that has released the key.
		r.Answer = Abstained
	case old.Holder == m.Holder:
		r.Answer = Granted
	default:
		r.Answer, r.Other = Held, old.Holder
	}
	v.messages = append(v.messages, r)
}

// timestampRejected reports whether a key has a timestamp that is past its
// lifetime, too far in the future, or earlier than the time up to which votes may
// have been dropped. The vote of a key far in the future would never expire.
func (v *Voter) timestampRejected(now time.Time, k Key) bool {
	at, ok := k.createdAt()
	return ok && (now.Sub(at) > v.cfg.Lifetime || at.Sub(now) > v.cfg.MaxAhead || at.Before(v.state.DroppedBefore))
}

// handleSettleRequest stores the outcome of a claim. A Done outcome is stored
// regardless of which holder has this voter's vote, because the reporting holder
// won with the votes of others. A release is accepted only from the holder itself.
func (v *Voter) handleSettleRequest(now time.Time, m Message) {
	old := v.table.get(m.Key)
	if m.Outcome.Kind == Released {
		v.releases.add(now, m.Key, m.Holder)
	}
	switch {
	case old != nil && old.Outcome.Kind == Done:
	case m.Outcome.Kind == Done:
		if old != nil || v.table.count < v.cfg.MaxVotes {
			v.store(Vote{Key: m.Key, Holder: m.Holder, Outcome: m.Outcome, At: now})
		}
	case m.Outcome.Kind == Released && old == nil:
		// The release arrived before the request. Store it, so that the delayed
		// request does not claim the key for a holder that no longer uses it.
		if v.table.count < v.cfg.MaxVotes {
			v.store(Vote{Key: m.Key, Holder: m.Holder, Outcome: Outcome{Kind: Released}, At: now})
		}
	case m.Outcome.Kind == Released && old.Holder == m.Holder && old.Outcome.Kind == Pending:
		v.store(Vote{Key: m.Key, Holder: m.Holder, Outcome: Outcome{Kind: Released}, At: now})
	}
	v.messages = append(v.messages, v.reply(m, SettleResponse))
}
