package consensus

import "time"

// ProposeConfig changes the members. At most one voter may be added or removed
// at a time, so that any majority before the change and any majority after it
// have a voter in common. Learners may change freely. If ProposeConfig returns
// an error, nothing was changed.
//
// To replace a voter: add the new one as a learner, wait until it has caught up,
// promote it to voter, then remove the old one. Each step is rejected until the
// previous one is committed and the resulting majority would hold every
// committed entry. Otherwise the loss of a second voter right after the
// replacement could lose an accepted change.
func (n *Node) ProposeConfig(now time.Time, next Configuration) error {
	n.startTimers(now)
	if err := n.checkCanPropose(); err != nil {
		return err
	}
	if err := n.checkChange(next); err != nil {
		return err
	}
	e := n.appendOwn(Entry{Kind: Reconfiguration, Data: next.encode()})
	n.configs.changes = append(n.configs.changes, configChange{e.Index, next})
	n.updatePeers()
	n.broadcastEntries()
	return nil
}

func (n *Node) checkChange(next Configuration) error {
	current := n.configs.current()
	added := membersNotIn(next.Voters, current.Voters)
	removed := membersNotIn(current.Voters, next.Voters)
	switch {
	case len(next.Voters) == 0 || next.check() != nil:
		return refuse(RefusedMalformed)
	case n.log.commit < n.leadership.termStart:
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

// checkPromotion allows a learner to become a voter only if it has synced every
// committed entry.
func (n *Node) checkPromotion(id ID) error {
	if !n.configs.current().Learner(id) {
		return refuse(RefusedNotLearner)
	}
	if !n.upToDate(n.leadership.peer(id)) {
		return refuse(RefusedBehind)
	}
	return nil
}

// checkRemoval allows the removal of a voter only if a majority of the remaining
// voters is reachable and holds every committed entry.
func (n *Node) checkRemoval(next Configuration) error {
	upToDateVoters := 1 // the leader
	for _, m := range next.Voters {
		if m.ID != n.id && n.upToDate(n.leadership.peer(m.ID)) {
			upToDateVoters++
		}
	}
	if upToDateVoters < next.Majority() {
		return refuse(RefusedUnsafe)
	}
	return nil
}

// upToDate reports whether a peer is reachable and holds every committed entry.
func (n *Node) upToDate(p *peer) bool {
	return p != nil && p.match >= n.log.commit && n.reachable(p)
}

// reachable reports whether a peer confirmed a round sent within ElectionMin.
func (n *Node) reachable(p *peer) bool {
	return n.leadership.rounds.lastAt().Sub(p.confirmedAt) < n.timing.ElectionMin
}
