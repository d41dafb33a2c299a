package control

import (
	"time"

	"celeryport/control/state"
	"celeryport/verdict"
)

// proposals are the commands that this voter proposed as leader and whose outcome is not
// known yet.
type proposals struct {
	waiting map[uint64]proposal // by log index
}

type proposal struct {
	term uint64
	done chan<- proposalResult
}

// proposalResult is the outcome of a proposal. The verdict of an error states whether the
// command may have been executed.
type proposalResult struct {
	outcome state.Outcome
	index   uint64
	err     error
}

func (p *proposals) add(index, term uint64, done chan<- proposalResult) {
	if p.waiting == nil {
		p.waiting = map[uint64]proposal{}
	}
	if old, found := p.waiting[index]; found {
		// The old proposal is from an earlier term of this leader. Its entry has been
		// overwritten in this log, but another voter may still hold it and commit it.
		old.done <- proposalResult{err: errOutcomeUnknown}
	}
	p.waiting[index] = proposal{term: term, done: done}
}

// committed completes the proposal at the index. If an entry of another term was committed
// there, the proposal was replaced and can never be executed.
func (p *proposals) committed(index, term uint64, outcome state.Outcome) {
	waiting, found := p.waiting[index]
	if !found {
		return
	}
	delete(p.waiting, index)
	if waiting.term != term {
		waiting.done <- proposalResult{err: errReplaced}
		return
	}
	waiting.done <- proposalResult{outcome: outcome, index: index}
}

// completeCovered completes the proposals covered by a snapshot. Whether the snapshot
// contains them is unknown, so their outcome is too.
func (p *proposals) completeCovered(index uint64) {
	for at, waiting := range p.waiting {
		if at <= index {
			delete(p.waiting, at)
			waiting.done <- proposalResult{err: errOutcomeUnknown}
		}
	}
}

// abandon fails all pending proposals.
func (p *proposals) abandon(err error) {
	for at, waiting := range p.waiting {
		delete(p.waiting, at)
		waiting.done <- proposalResult{err: err}
	}
}

var (
	errReplaced       = verdict.Refuse(verdict.ReasonNotLeader, 0, "another leader took over before the change was accepted")
	errOutcomeUnknown = verdict.New(verdict.MayHaveRun, verdict.ReasonNotLeader, "another leader took over; the outcome is unknown here")
)

// propose appends a command to the log. The outcome is sent to done, which must have room
// for one result.
func (g *group) propose(now time.Time, command *state.Command, done chan<- proposalResult) {
	if g.node == nil {
		done <- proposalResult{err: verdict.Refuse(verdict.ReasonNotLeader, 0, "this voter does not take part")}
		return
	}
	data, err := command.Encode()
	if err != nil {
		done <- proposalResult{err: err}
		return
	}
	index, term, err := g.node.Propose(now, data)
	if err != nil {
		done <- proposalResult{err: err}
		return
	}
	g.proposals.add(index, term, done)
}
