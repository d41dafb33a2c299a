package control

import (
	"time"

	"celeryport/consensus"
	"celeryport/control/relay"
	"celeryport/event"
	"celeryport/membership"
	"celeryport/quarantine"
)

// syncFailed records that target did not answer a sync and no longer considers it the
// leader.
func (c *core) syncFailed(target string, err error) {
	if c.position.leader == target {
		c.position.leader = ""
	}
	c.choice.RecordFailure(target)
	if c.connected {
		eventSyncFailed.Log(c.log, event.Fields{"target": target, "error": err})
	}
	c.connected = false
}

// applySync applies the response to a sync. The lease is renewed last: it covers the
// revision in this response, so it is valid only after that revision has been installed.
func (c *core) applySync(now time.Time, a *searchAnswer) error {
	sentAt, target, r := a.sentAt, a.target, a.response
	if r.Redirect {
		c.position.leader = r.Leader
		if r.Leader == "" || r.Leader == target {
			c.position.leader = ""
			return errNoVoter
		}
		return errResend
	}
	if r.Superseded > 0 {
		c.position.stated = false
		return c.superseded(r.Superseded)
	}
	if r.Restate {
		c.position.stated = false
		return errResend
	}
	c.accepted = c.accepted || !c.attaches() || r.Accepted
	c.recordContact(now, target, r)
	c.adoptEpoch(now, r.Epoch, target)
	c.position.stated = true
	c.applyDeltas(now, sentAt, r)
	if err := c.applyRevision(r); err != nil {
		return err
	}
	if r.LeaseMs > 0 && c.installed.revision() >= r.Revision && c.self.State != membership.Gone {
		c.lease.renew(sentAt, time.Duration(r.LeaseMs)*time.Millisecond)
	}
	if c.fanout != nil {
		c.fanout.applyAttachedResult(a.request.Attached, r)
		c.acknowledgeDelivery(a)
	}
	if r.LeaseMs == 0 && len(r.Text) == 0 && !c.attaches() {
		// The sender believes that it leads but cannot reach a majority: another voter may
		// know a newer leader.
		c.position.leader = ""
	}
	c.views.dirty()
	return nil
}

// acknowledgeDelivery notifies the callers that wait for a leader to have the sent
// updates. A new leader lacks the earlier batches and acknowledges nothing until it has
// been sent all of them.
func (c *core) acknowledgeDelivery(a *searchAnswer) {
	if a.response.AppliedUpTo >= a.request.batchPosition {
		c.fanout.delivery.acknowledge(a.request.deliveryMark)
		return
	}
	if len(c.fanout.delivery.waiting) > 0 {
		c.node.requestSync()
	}
}

// recordContact records a successful sync, and logs when this instance regains contact
// with the control group or its voter loses contact with the leader.
func (c *core) recordContact(now time.Time, target string, r *syncResponse) {
	switch {
	case r.Detached && !c.choice.Detached():
		eventVoterDetached.Log(c.log, event.Fields{"voter": target, "revision": r.Revision})
	case !r.Detached && (!c.connected || c.choice.Detached()):
		eventSyncRestored.Log(c.log, event.Fields{"leader": target, "revision": r.Revision})
	}
	c.choice.RecordContact(r.Detached)
	c.connected, c.syncedAt = true, now
}

// superseded handles the response that a higher incarnation of this name is known. If no
// leader has accepted this process yet, it chose its incarnation by a clock that had been
// set back, and chooses a higher one. If a leader has accepted it before, another process
// has taken over the name, and this one must stop admitting requests.
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

// adoptEpoch discards all positions if the epoch has changed, because positions are
// meaningful only to the leader that issued them.
func (c *core) adoptEpoch(now time.Time, epoch, target string) {
	if c.position.epoch != epoch {
		c.position = syncPosition{epoch: epoch}
		c.received = relay.NewReceiver()
		c.members.startEpoch()
		c.choice.RecordAttached(now, c.self.Name, target)
	}
	c.position.leader = target
}

func (c *core) applyDeltas(now, sentAt time.Time, r *syncResponse) {
	c.position.members = max(c.position.members, r.MembersAt)
	c.position.appliedUpTo = r.AppliedUpTo
	c.members.merge(now, r.Members.list)
	if r.Settled {
		c.members.settle(now)
	}
	c.applyUpstreams(now, sentAt, r)
	if len(r.Voters) > 0 {
		c.voters = r.Voters
		c.applyClaimEpoch(r)
	}
	c.applyGrants(now, r)
	c.applyQuarantine(r.Quarantine)
	c.applyEvacuated(now, r.Evacuated)
}

// applyQuarantine replaces the quarantined requests, unless a delayed response brings an
// older version.
func (c *core) applyQuarantine(list *quarantine.List) {
	if list.Version() <= c.quarantined.Version() {
		return
	}
	c.quarantined = list
	c.views.dirty()
	eventQuarantine.Log(c.log, event.Fields{"requests": list.Size(), "parts": list.GroupCount(), "version": list.Version()})
}

// logInstallFailed logs a revision that could not be installed; repeated attempts are not
// logged.
func (c *core) logInstallFailed(revision uint64, err error) {
	if c.failedRevision != revision {
		eventInstallFailed.Log(c.log, event.Fields{"revision": revision, "error": err})
	}
	c.failedRevision = revision
}

// applyGrants replaces the grants, unless a delayed response brings older ones. A new
// leader issues none at first; those of its predecessor expire by themselves.
func (c *core) applyGrants(now time.Time, r *syncResponse) {
	if r.GrantsAt == 0 || r.GrantsAt < c.position.grants {
		return
	}
	c.grants = r.Grants
	c.position.grants = r.GrantsAt
	c.grantedAt = now
	c.grantRound++
}

// applyClaimEpoch publishes the voters on claims.
func (c *core) applyClaimEpoch(r *syncResponse) {
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

func (c *core) applyRevision(r *syncResponse) error {
	if len(r.Text) == 0 || r.Revision <= c.installed.revision() {
		return nil
	}
	if err := c.installed.install(r.Revision, r.Text); err != nil {
		c.logInstallFailed(r.Revision, err)
		return err
	}
	eventInstalled.Log(c.log, event.Fields{"revision": r.Revision})
	c.direct.SetFreshFor(c.freshFor())
	c.known.SetFreshFor(c.freshFor())
	if !c.attaches() {
		c.node.requestSync() // confirm at once; an attached instance's next sync follows this response anyway
	}
	return nil
}

// markGone marks this instance as gone and ends its lease.
func (c *core) markGone() {
	c.self.State = membership.Gone
	c.lease.drop()
	c.views.dirty()
}
