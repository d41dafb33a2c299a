package control

import (
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/consensus"
	"celeryport/event"
)

// healInterval is how often a leader looks whether the voters need a change. One
// repair takes three changes, which have to be done well inside the four seconds
// after which the next instance may be lost.
const healInterval = 200 * time.Millisecond

// healPatience is how long a new leader waits for the instances to report to it
// before it takes a voter for dead: above the longest hold of a sync (500 ms).
const healPatience = 700 * time.Millisecond

// heal does the next step that the voters need, when the leader keeps them by
// itself, and returns when to look again.
func (l *leader) heal(now time.Time) time.Time {
	wanted := l.core.node.opts.Heal
	if wanted == 0 {
		return now.Add(maxWait)
	}
	if now.Before(l.healAt) {
		return l.healAt
	}
	l.healAt = now.Add(healInterval)
	if now.Sub(l.since) < healPatience {
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
		l.noteRefusedRepair(err)
		return l.healAt
	}
	eventVoterRepair.Log(l.core.log, event.Fields{"step": why, "voters": next.Voters, "learners": next.Learners})
	return now
}

// noteRefusedRepair logs a refusal that does not pass by itself.
func (l *leader) noteRefusedRepair(err error) {
	var refused *consensus.RefusedError
	if errors.As(err, &refused) && passing(err) {
		return
	}
	eventVoterRepairRefused.Log(l.core.log, event.Fields{"error": err})
}

// knownVoters tells what this leader knows of the data folders that may vote.
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
