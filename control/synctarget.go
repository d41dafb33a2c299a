package control

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/evacuation"
	"celeryport/event"
	"celeryport/settings"
)

// syncRequest returns the next sync and the address to send it to; the address is empty if
// no leader is known.
func (c *core) syncRequest(now time.Time, wait time.Duration) (syncRequest, string) {
	c.self.Revision = c.installed.revision()
	c.self.Evacuated = evacuation.VersionOf(c.evacuated)
	announcements := c.announcementsDelta(now)
	quarantined := c.quarantined.Version()
	request := syncRequest{
		Epoch:         c.position.epoch,
		Members:       c.position.members,
		Upstreams:     c.received.Position(),
		announcements: announcements,
		batchPosition: c.out.sender.Position(),
		Claims:        c.claimsEpoch(),
		Demand:        c.demand,
		Grants:        c.position.grants,
		Bare:          c.installed.tree == nil,
		Seeking:       !c.accepted,
		Known:         c.known.Size(),
		WaitMs:        wait.Milliseconds(),
		Attach:        c.attaches(),

		Quarantine: &quarantined,
		Evacuated:  c.self.Evacuated,
	}
	if c.fanout != nil {
		request.Demand = c.fanout.demands.Sum(now, c.demand)
		request.Attached = attachedWire(c.fanout.roster.Reports(now))
		request.deliveryMark = c.fanout.delivery.lastMark
	}
	if c.position.stated {
		request.Brief = briefOf(&c.self)
	} else {
		request.Instance = c.self
	}
	if c.group != nil && !c.position.stated {
		request.VoterID = c.group.id
	}
	if c.attaches() {
		c.demand = nil // the voter keeps it until it expires
	}
	if c.defunct {
		return request, ""
	}
	return request, c.position.leader
}

// attaches reports whether this instance syncs with any voter instead of the leader.
func (c *core) attaches() bool { return c.group == nil && c.node.opts.FanOut }

// announcementsDelta encodes the announcements that the leader has not acknowledged.
func (c *core) announcementsDelta(now time.Time) []byte {
	err := c.out.gather(now)
	delta, sinceErr := c.out.sender.Since(now, c.position.appliedUpTo)
	if err = errors.CombineErrors(err, sinceErr); err != nil {
		eventRelayFailed.Log(c.log, event.Fields{"error": err})
		return nil
	}
	return delta
}

// claimsEpoch returns the number of the known epoch of claims.
func (c *core) claimsEpoch() uint64 {
	if known := c.node.claimGroup.Load(); known != nil {
		return known.epoch.Number
	}
	return 0
}

// voterAddresses lists the voters that a leader named last, followed by those of the own log, which are newer than the
// process settings after a restart, and those of the settings in case all of the former have been replaced.
func (c *core) voterAddresses() []string {
	var addresses []string
	for _, m := range c.voters {
		addresses = append(addresses, m.Address)
	}
	if c.group != nil {
		for _, m := range c.group.voters() {
			addresses = appendAddress(addresses, m.Address)
		}
	}
	return appendNew(addresses, c.seeds)
}

func appendNew(addresses []string, members []settings.Member) []string {
	for _, m := range members {
		addresses = appendAddress(addresses, m.Address)
	}
	return addresses
}

// appendAddress appends an address that is not in the list.
func appendAddress(addresses []string, address string) []string {
	if slices.Contains(addresses, address) {
		return addresses
	}
	return append(addresses, address)
}
