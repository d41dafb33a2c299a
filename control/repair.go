package control

import "celeryport/consensus"

// knownVoters is a leader's knowledge of the data folders that may vote.
type knownVoters struct {
	live    []consensus.Member // data folders whose instances report to the leader, members of the group or not
	settled bool               // the leader has led long enough to know every live instance
}

// alive reports whether a live instance uses the data folder.
func (k *knownVoters) alive(id consensus.ID) bool {
	for _, m := range k.live {
		if m.ID == id {
			return true
		}
	}
	return false
}

// dead reports whether a member is certainly gone: its address has another data folder
// now, or it has not reported although the leader waited long enough.
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

// repair returns the next configuration on the way to the wanted number of live voters,
// and a description of the step, empty if there is nothing to do.
//
// An instance that lost its disk, or that replaces one that is gone for good, has a data
// folder that is not a member. It becomes a learner, then a voter, and only then is a dead
// voter removed, so that an accepted change is never stored on fewer disks than before. A
// dead voter without a replacement is kept: its disk may come back.
func repair(c *consensus.Configuration, known knownVoters, wanted int) (consensus.Configuration, string) {
	next := consensus.Configuration{
		Voters:   append([]consensus.Member(nil), c.Voters...),
		Learners: append([]consensus.Member(nil), c.Learners...),
	}
	if gone, found := firstDead(c.Learners, &known); found {
		next.Learners = withoutMember(next.Learners, gone)
		return next, "remove a dead learner"
	}
	if gone, found := firstDead(c.Voters, &known); found && len(c.Voters) > wanted {
		next.Voters = withoutMember(next.Voters, gone)
		return next, "remove a dead voter"
	}
	live := countLive(c.Voters, &known)
	if len(c.Learners) > 0 && live < wanted {
		promoted := c.Learners[0]
		next.Learners = withoutMember(next.Learners, promoted.ID)
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
