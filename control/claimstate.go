package control

import (
	"celeryport/claim"
	"celeryport/event"
)

// takeLifetime brings the lifetime of keys in line with the settings in force.
func (v *claimVoter) takeLifetime() {
	if tree := v.node.View().Tree; tree != nil {
		v.voter.SetLifetime(tree.Fleet.KeyLifetime)
	}
}

// noteState logs when the voter begins or ceases to vote.
func (v *claimVoter) noteState() {
	status := v.voter.Status()
	if status.Full && !v.full {
		claim.EventFull.Log(v.node.log, event.Fields{"votes": status.Votes})
	}
	v.full = status.Full
	if v.votes.Swap(status.Complete) == status.Complete {
		return
	}
	fields := event.Fields{"epoch": status.Epoch, "votes": status.Votes}
	if status.Complete {
		claim.EventVotes.Log(v.node.log, fields)
		return
	}
	claim.EventAbstains.Log(v.node.log, fields)
}
