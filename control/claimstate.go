package control

import (
	"celeryport/claim"
	"celeryport/event"
)

// updateLifetime applies the lifetime of keys from the settings in force.
func (v *claimVoter) updateLifetime() {
	if tree := v.node.View().Tree; tree != nil {
		v.voter.SetLifetime(tree.Fleet.KeyLifetime)
	}
}

// logState logs when the voter starts or stops voting.
func (v *claimVoter) logState() {
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
