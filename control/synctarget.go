package control

import (
	"time"

	"celeryport/settings"
)

// syncRequest states what this instance knows, and whom to tell it.
func (c *core) syncRequest(now time.Time, wait time.Duration) (syncRequest, string) {
	c.self.Revision = c.installed.revision()
	heard, heardUpTo := c.heard.ChangesSince(now, c.position.heardUpTo)
	request := syncRequest{
		Instance:  c.self,
		Epoch:     c.position.epoch,
		Members:   c.position.members,
		Upstreams: c.position.upstreams,
		Heard:     heard,
		HeardUpTo: heardUpTo,
		Demand:    c.demand,
		Grants:    c.position.grants,
		WaitMs:    wait.Milliseconds(),
	}
	if c.group != nil {
		request.VoterID = c.group.id
	}
	if c.defunct {
		return request, ""
	}
	return request, c.syncTarget()
}

// syncTarget is the known leader, or else the voters in turn.
func (c *core) syncTarget() string {
	if c.position.leader != "" {
		return c.position.leader
	}
	addresses := c.voterAddresses()
	if len(addresses) == 0 {
		return ""
	}
	c.nextVoter++
	return addresses[c.nextVoter%len(addresses)]
}

// voterAddresses lists the voters of the last known configuration, and those of
// the process settings in case all the former have been replaced.
func (c *core) voterAddresses() []string {
	var addresses []string
	for _, m := range c.voters {
		addresses = append(addresses, m.Address)
	}
	return appendNew(addresses, c.node.opts.Process.Voters)
}

func appendNew(addresses []string, members []settings.Member) []string {
	for _, m := range members {
		known := false
		for _, a := range addresses {
			known = known || a == m.Address
		}
		if !known {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}
