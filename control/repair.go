package control

import "celeryport/consensus"

// knownVoters is what a leader knows of the data folders that may vote.
type knownVoters struct {
	live    []consensus.Member // of the instances that report to it
	settled bool               // it has led long enough to have heard of all that live
}

// alive reports whether the folder is in use.
func (k *knownVoters) alive(id consensus.ID) bool {
	for _, m := range k.live {
		if m.ID == id {
			return true
		}
	}
	return false
}

// dead reports whether a member is surely not there: its address has another
// folder now, or it did not report although the leader waited long enough.
func (k *knownVoters) dead(m consensus.Member) bool {
	if k.alive(m.ID) {
		return false
	}
	for _, other := range k.live {
		if other.Address == m.Address {
			return true
		}
	}
	return k.settled
}

// repair returns the next configuration on the way from the present one to the
// wanted number of live voters, and what the step does; an empty text says that
// nothing is to be done.
//
// An instance whose disk was lost, or that replaces one which is gone for good,
// has a data folder that is no member. It becomes a learner, then a voter, and
// only after that a dead voter leaves, so that an accepted change is never on
// fewer disks than before. A dead voter for which there is no other stays: its
// disk may come back.
func repair(c *consensus.Configuration, known knownVoters, wanted int) (consensus.Configuration, string) {
	next := consensus.Configuration{
		Voters:   append([]consensus.Member(nil), c.Voters...),
		Learners: append([]consensus.Member(nil), c.Learners...),
	}
	if gone, found := firstDead(c.Learners, &known); found {
		next.Learners = without(next.Learners, gone)
		return next, "remove a dead learner"
	}
	if gone, found := firstDead(c.Voters, &known); found && len(c.Voters) > wanted {
		next.Voters = without(next.Voters, gone)
		return next, "remove a dead voter"
	}
	live := countLive(c.Voters, &known)
	if len(c.Learners) > 0 && live < wanted {
		promoted := c.Learners[0]
		next.Learners = without(next.Learners, promoted.ID)
		next.Voters = append(next.Voters, promoted)
		return next, "promote a learner"
	}
	for _, m := range known.live {
		if !c.Voter(m.ID) && !c.Learner(m.ID) && live+len(c.Learners) < wanted {
			next.Learners = append(next.Learners, m)
			return next, "add a learner"
		}
	}
	return next, ""
}

func firstDead(members []consensus.Member, known *knownVoters) (consensus.ID, bool) {
	for _, m := range members {
		if known.dead(m) {
			return m.ID, true
		}
	}
	return "", false
}

func countLive(members []consensus.Member, known *knownVoters) int {
	count := 0
	for _, m := range members {
		if known.alive(m.ID) {
			count++
		}
	}
	return count
}
