package consensus

import "time"

// ProposeConfig changes the members, at most one voter at a time, so that the
// majorities before and after the change share a voter. Learners may change
// freely. Errors mean that nothing was done.
//
// To replace a voter: add the new one as a learner, wait until it has caught up,
// make it a voter, and remove the old one after that. Each step is refused until
// the one before is committed and the majority afterwards would hold every
// committed entry: otherwise the loss of a second voter right after the repair
// could lose an accepted change.
func (n *Node) ProposeConfig(now time.Time, next Configuration) error {
	n.start(now)
	if err := n.mayPropose(); err != nil {
		return err
	}
	if err := n.checkChange(next); err != nil {
		return err
	}
	e := n.appendOwn(Entry{Kind: Reconfiguration, Data: next.encode()})
	n.configs.changes = append(n.configs.changes, configChange{e.Index, next})
	n.followPeers()
	n.sendNew()
	return nil
}

func (n *Node) checkChange(next Configuration) error {
	current := n.configs.current()
	added := missingFrom(next.Voters, current.Voters)
	removed := missingFrom(current.Voters, next.Voters)
	switch {
	case len(next.Voters) == 0 || next.check() != nil:
		return refuse(RefusedMalformed)
	case n.log.commit < n.lead.termStart:
		return refuse(RefusedTermStart)
	case n.configs.lastIndex() > n.log.commit:
		return refuse(RefusedPending)
	case len(added)+len(removed) > 1:
		return refuse(RefusedTooMany)
	case !next.Voter(n.id):
		return refuse(RefusedSelf)
	}
	if len(added) == 1 {
		return n.checkPromotion(added[0])
	}
	if len(removed) == 1 {
		return n.checkRemoval(next)
	}
	return nil
}

// checkPromotion lets a learner count only once it holds every committed entry
// on its disk.
func (n *Node) checkPromotion(id ID) error {
	if !n.configs.current().Learner(id) {
		return refuse(RefusedNotLearner)
	}
	if !n.upToDate(n.lead.peer(id)) {
		return refuse(RefusedBehind)
	}
	return nil
}

// checkRemoval lets a voter leave only when a majority of those that stay can
// be reached and holds every committed entry.
func (n *Node) checkRemoval(next Configuration) error {
	good := 1 // the leader itself
	for _, m := range next.Voters {
		if m.ID != n.id && n.upToDate(n.lead.peer(m.ID)) {
			good++
		}
	}
	if good < next.Majority() {
		return refuse(RefusedUnsafe)
	}
	return nil
}

// upToDate reports whether a peer can be reached and holds every committed entry.
func (n *Node) upToDate(p *peer) bool {
	return p != nil && p.match >= n.log.commit && n.reachable(p)
}

// reachable reports whether a peer confirmed a round sent within ElectionMin.
func (n *Node) reachable(p *peer) bool {
	return n.lead.rounds.lastAt().Sub(p.confirmedAt) < n.timing.ElectionMin
}
