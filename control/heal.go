package control

import (
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/consensus"
	"celeryport/event"
)

// healInterval is the interval at which a leader checks whether the voters need a change.
// One repair takes three changes, which must be completed well within the four seconds
// after which the next instance may be lost.
const healInterval = 200 * time.Millisecond

// healDelay is how long a new leader waits for the instances to report before it considers
// a voter dead. It exceeds the longest hold of a sync (500 ms).
const healDelay = 700 * time.Millisecond

// heal performs the next step that repairs the set of voters, if the leader maintains it
// automatically, and returns when to check again.
func (l *leader) heal(now time.Time) time.Time {
	wanted := l.core.node.opts.Heal
	if wanted == 0 {
		return now.Add(maxWait)
	}
	if now.Before(l.healAt) {
		return l.healAt
	}
	l.healAt = now.Add(healInterval)
	if now.Sub(l.since) < healDelay {
		return l.healAt
	}
	status := l.core.group.node.Status()
	if status.ConfigPending {
		return l.healAt
	}
	next, why := repair(&status.Configuration, l.knownVoters(now), wanted)
	if why == "" {
		return l.healAt
	}
	if err := l.core.group.node.ProposeConfig(now, next); err != nil {
		l.logRefusedRepair(err)
		return l.healAt
	}
	eventVoterRepair.Log(l.core.log, event.Fields{"step": why, "voters": next.Voters, "learners": next.Learners})
	return now
}

// logRefusedRepair logs a refusal that is not transient.
func (l *leader) logRefusedRepair(err error) {
	var refused *consensus.RefusedError
	if errors.As(err, &refused) && transient(err) {
		return
	}
	eventVoterRepairRefused.Log(l.core.log, event.Fields{"error": err})
}

// knownVoters returns this leader's knowledge of the data folders that may vote.
func (l *leader) knownVoters(now time.Time) knownVoters {
	known := knownVoters{
		live:    []consensus.Member{{ID: l.core.group.id, Address: l.core.self.ControlAddress}},
		settled: l.table.Settled(now),
	}
	for name, id := range l.ids {
		instance, found := l.table.Find(name)
		if found && instance.Voter && id != "" && id != l.core.group.id {
			known.live = append(known.live, consensus.Member{ID: id, Address: instance.ControlAddress})
		}
	}
	return known
}
