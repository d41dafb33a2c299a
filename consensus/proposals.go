package consensus

// Proposals follows the proposals of one node until their outcome is known. The
// driver adds each one, shows it every committed entry and snapshot, and tells
// it when the node is no longer the leader.
type Proposals struct {
	waiting []waitingProposal // ascending by index
}

type waitingProposal struct {
	at   position
	done func(error)
}

// Add follows the proposal at an index and term. done is called once: with nil
// after the entry was committed, else with an OutcomeUnknownError.
func (p *Proposals) Add(index, term uint64, done func(error)) {
	p.waiting = append(p.waiting, waitingProposal{position{index, term}, done})
}

// Committed settles the proposals at the indexes of applied entries. One whose
// place was taken by another entry has the outcome unknown: its sender may have
// handed the same order to the next leader too, so only the state machine above
// can say whether it ran.
func (p *Proposals) Committed(entries []Entry) {
	for _, e := range entries {
		p.settle(position{e.Index, e.Term})
	}
}

func (p *Proposals) settle(committed position) {
	for len(p.waiting) > 0 && p.waiting[0].at.index <= committed.index {
		w := p.waiting[0]
		p.waiting = p.waiting[1:]
		if w.at == committed {
			w.done(nil)
			continue
		}
		w.done(&OutcomeUnknownError{w.at.index, w.at.term})
	}
}

// LeadershipLost ends all proposals that wait, with the outcome unknown.
func (p *Proposals) LeadershipLost() {
	waiting := p.waiting
	p.waiting = nil
	for _, w := range waiting {
		w.done(&OutcomeUnknownError{w.at.index, w.at.term})
	}
}
