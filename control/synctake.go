package control

import (
	"time"

	"celeryport/consensus"
	"celeryport/control/relay"
	"celeryport/event"
	"celeryport/membership"
	"celeryport/quarantine"
)

// syncFailed forgets a leader that did not answer.
func (c *core) syncFailed(target string, err error) {
	if c.position.leader == target {
		c.position.leader = ""
	}
	c.choice.RecordFailure(target)
	if c.inTouch {
		eventSyncFailed.Log(c.log, event.Fields{"target": target, "error": err})
	}
	c.inTouch = false
}

// takeSync takes in an answer. The lease is renewed last: it covers the revision
// in this answer, so it counts only once that is installed.
func (c *core) takeSync(now time.Time, a *searchAnswer) error {
	sentAt, target, r := a.sentAt, a.target, a.response
	if r.Redirect {
		c.position.leader = r.Leader
		if r.Leader == "" || r.Leader == target {
			c.position.leader = ""
			return errNoVoter
		}
		return errAgain
	}
	if r.Superseded > 0 {
		c.position.stated = false
		return c.superseded(r.Superseded)
	}
	if r.Restate {
		c.position.stated = false
		return errAgain
	}
	c.accepted = c.accepted || !c.attaches() || r.Taken
	c.noteTouch(now, target, r)
	c.takeEpoch(now, r.Epoch, target)
	c.position.stated = true
	c.takeDeltas(now, sentAt, r)
	if err := c.takeRevision(r); err != nil {
		return err
	}
	if r.LeaseMs > 0 && c.installed.revision() >= r.Revision && c.self.State != membership.Gone {
		c.lease.renew(sentAt, time.Duration(r.LeaseMs)*time.Millisecond)
	}
	if c.fanout != nil {
		c.fanout.takeAttached(a.request.Attached, r)
		c.noteDelivered(a)
	}
	if r.LeaseMs == 0 && len(r.Text) == 0 && !c.attaches() {
		// It takes itself for the leader but can't reach a majority: another voter
		// may know a newer one.
		c.position.leader = ""
	}
	c.views.dirty()
	return nil
}

// noteDelivered tells those that wait for a leader to have what was sent. A leader that has just
// begun to lead lacks the batches before, and takes nothing until it is sent all.
func (c *core) noteDelivered(a *searchAnswer) {
	if a.response.HeardUpTo >= a.request.upTo {
		c.fanout.delivery.takenUpTo(a.request.mark)
		return
	}
	if len(c.fanout.delivery.waiting) > 0 {
		c.node.kickSync()
	}
}

// noteTouch notes that a sync worked, and logs when this instance is in touch again or
// its voter ceased to hear a leader.
func (c *core) noteTouch(now time.Time, target string, r *syncResponse) {
	switch {
	case r.Detached && !c.choice.Detached():
		eventVoterDetached.Log(c.log, event.Fields{"voter": target, "revision": r.Revision})
	case !r.Detached && (!c.inTouch || c.choice.Detached()):
		eventSyncBack.Log(c.log, event.Fields{"leader": target, "revision": r.Revision})
	}
	c.choice.SetDetached(r.Detached)
	c.inTouch, c.syncedAt = true, now
}

// superseded handles the answer that a higher incarnation of this name is known.
// A process that was never taken drew its incarnation from a clock that went
// back, and draws a higher one. A process that was taken before has a successor,
// and must not admit beside it.
func (c *core) superseded(known uint64) error {
	if !c.accepted {
		return c.renewIncarnation(known)
	}
	if !c.defunct {
		eventSuperseded.Log(c.log, event.Fields{"name": c.self.Name, "incarnation": known})
	}
	c.defunct = true
	c.lease.drop()
	c.views.dirty()
	return nil
}

// takeEpoch starts from the beginning with another leader, whose positions mean
// something else.
func (c *core) takeEpoch(now time.Time, epoch, target string) {
	if c.position.epoch != epoch {
		c.position = syncPosition{epoch: epoch}
		c.received = relay.NewReceiver()
		c.members.follow()
		c.choice.RecordAttached(now, c.self.Name, target)
	}
	c.position.leader = target
}

func (c *core) takeDeltas(now, sentAt time.Time, r *syncResponse) {
	c.position.members = max(c.position.members, r.MembersAt)
	c.position.heardUpTo = r.HeardUpTo
	c.members.merge(now, r.Members.list)
	if r.Settled {
		c.members.settle(now)
	}
	c.takeUpstreams(now, sentAt, r)
	if len(r.Voters) > 0 {
		c.voters = r.Voters
		c.takeClaims(r)
	}
	c.takeGrants(r)
	c.takeQuarantine(r.Quarantine)
}

// takeQuarantine takes in the quarantined requests, unless an answer that was held
// meanwhile brings older ones.
func (c *core) takeQuarantine(list *quarantine.List) {
	if list.Version() <= c.quarantined.Version() {
		return
	}
	c.quarantined = list
	c.views.dirty()
	eventQuarantine.Log(c.log, event.Fields{"requests": list.Size(), "version": list.Version()})
}

// noteInstallFailed logs a revision once, however often it is tried.
func (c *core) noteInstallFailed(revision uint64, err error) {
	if c.failedRevision != revision {
		eventInstallFailed.Log(c.log, event.Fields{"revision": revision, "error": err})
	}
	c.failedRevision = revision
}

// takeGrants replaces the grants, unless an answer that was held meanwhile
// brings older ones. A new leader gives none at first; those of its predecessor
// lapse by themselves.
func (c *core) takeGrants(r *syncResponse) {
	if r.GrantsAt == 0 || r.GrantsAt < c.position.grants {
		return
	}
	c.grants = r.Grants
	c.position.grants = r.GrantsAt
}

// takeClaims publishes who votes on claims.
func (c *core) takeClaims(r *syncResponse) {
	known := c.node.claimGroup.Load()
	if known != nil && known.epoch.Number >= r.Claims.Number {
		return
	}
	addresses := map[consensus.ID]string{}
	for _, m := range r.Voters {
		addresses[m.ID] = m.Address
	}
	c.node.claimGroup.Store(&claimGroup{epoch: r.Claims, addresses: addresses})
}

func (c *core) takeRevision(r *syncResponse) error {
	if len(r.Text) == 0 || r.Revision <= c.installed.revision() {
		return nil
	}
	if err := c.installed.install(r.Revision, r.Text); err != nil {
		c.noteInstallFailed(r.Revision, err)
		return err
	}
	eventInstalled.Log(c.log, event.Fields{"revision": r.Revision})
	c.heard.SetFreshFor(c.freshFor())
	c.known.SetFreshFor(c.freshFor())
	if !c.attaches() {
		c.node.kickSync() // confirm at once; an attached instance's next sync follows this answer anyway
	}
	return nil
}

// goodbye states that this instance admits nothing any more.
func (c *core) goodbye() {
	c.self.State = membership.Gone
	c.lease.drop()
	c.views.dirty()
}
