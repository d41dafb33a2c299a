package control

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"celeryport/consensus"
	"celeryport/control/attachment"
	"celeryport/control/relay"
	"celeryport/control/state"
	"celeryport/evacuation"
	"celeryport/event"
	"celeryport/membership"
	"celeryport/quarantine"
	"celeryport/quota"
	"celeryport/settings"
	"celeryport/upstream"
)

// core is the control state of an instance. Only the control goroutine uses it.
type core struct {
	node           *Node
	log            logrus.FieldLogger
	timing         Timing
	self           membership.Instance
	connected      bool      // the last sync succeeded
	syncedAt       time.Time // time of the last successful sync
	accepted       bool      // a leader has accepted this incarnation of the instance
	defunct        bool      // another process has taken over the name
	installed      installed
	failedRevision uint64 // last revision that could not be installed
	lease          lease
	members        memberList
	direct         *upstream.Registry // announcements received directly, to be sent to the leader
	known          *upstream.Registry // all known announcements
	out            outbox             // batches of the announcements in direct, for the leader
	received       *relay.Receiver    // batches from the leader
	grants         []quota.Grant
	demand         []quota.Demand
	grantedAt      time.Time // when the last grants arrived
	grantRound     uint64    // number of grants that have arrived
	position       syncPosition
	voters         []consensus.Member
	seeds          []settings.Member // voters named by the process settings, which may change
	group          *group            // nil on an instance without a log
	leader         *leader           // nil unless this voter leads
	fanout         *fanout           // nil on an instance without a log
	choice         attachment.Choice // selects the voter that an attached instance syncs with
	views          viewState
	quarantined    *quarantine.List     // requests that must not be sent to any upstream
	evacuated      *evacuation.List     // availability zones whose upstreams get no new work
	restoredAt     map[string]time.Time // when this instance learned that a zone is evacuated no longer
	fleetAnswer    fleetAnswer          // last one given to instances that no leader has accepted
	departuresAt   uint64               // version of the departed upstreams that known has
}

// syncPosition is what this instance and a leader have acknowledged of each other's
// updates.
type syncPosition struct {
	epoch       string
	leader      string // control address; on an attached instance that of its voter
	stated      bool   // the leader knows this incarnation in full
	members     uint64
	grants      uint64 // allocation round of the grants in use
	appliedUpTo uint64 // last batch of this instance that the leader has applied
}

// newCore returns the control state that the data folder holds.
func newCore(n *Node) (*core, error) {
	process := n.opts.Process
	c := &core{
		node:       n,
		log:        n.log,
		timing:     n.opts.Timing,
		installed:  installed{folder: dataFolder{process.DataFolder, n.opts.FS}, parse: n.parsed.parse},
		members:    newMemberList(),
		restoredAt: map[string]time.Time{},
		seeds:      process.Voters,
	}
	if err := c.open(); err != nil {
		return nil, errors.CombineErrors(err, c.closeFolder())
	}
	return c, nil
}

// open reads the data folder, and chooses the incarnation by it.
func (c *core) open() error {
	n, process := c.node, c.node.opts.Process
	if err := c.openFolder(); err != nil {
		return err
	}
	c.self = membership.Instance{
		Name:             process.Name,
		Address:          n.opts.trafficAddress(),
		ControlAddress:   n.opts.controlAddress(),
		AvailabilityZone: process.AvailabilityZone,
		Region:           process.Region,
		Voter:            process.Voter,
		Revision:         c.installed.revision(),
	}
	if process.Voter {
		c.self.LogVersion = state.LogVersion
	}
	if err := c.renewIncarnation(0); err != nil {
		return err
	}
	c.direct = upstream.NewRegistry(c.freshFor())
	c.out = newOutbox(c.direct)
	c.received = relay.NewReceiver()
	c.known = upstream.NewRegistry(c.freshFor())
	if c.group != nil {
		c.fanout = newFanout(c)
		c.applyDepartures()
	}
	return c.loadRemembered(n.clock.Now())
}

// step performs all due work and returns when to call it again.
func (c *core) step(now time.Time) (time.Time, error) {
	next := now.Add(maxWait)
	if c.group != nil {
		due, err := c.group.step(now)
		if err != nil {
			return next, err
		}
		next = earlier(next, due)
		c.followDepartures()
	}
	c.followLeadership(now)
	if c.leader != nil {
		next = earlier(next, c.leader.step(now))
	}
	if c.fanout != nil {
		next = earlier(next, c.fanout.step(now))
	}
	c.logLeaseChange(now)
	return earlier(next, c.publishIfDue(now)), nil
}

// logLeaseChange logs when the lease is gained or lost.
func (c *core) logLeaseChange(now time.Time) {
	switch c.lease.change(now) {
	case leaseGained:
		eventLeaseGained.Log(c.log, event.Fields{"revision": c.installed.revision()})
	case leaseLost:
		eventLeaseLost.Log(c.log, event.Fields{"revision": c.installed.revision()})
		c.views.dirty()
	}
}

// receiveAnnouncement processes an announcement that an upstream made to this instance.
func (c *core) receiveAnnouncement(now time.Time, a upstream.Announcement) {
	c.node.traffic.AnnouncementsTaken.Add(1)
	c.markDeparted(&a)
	news := c.direct.Apply(now, a)
	c.logUpstream(a)
	c.known.Apply(now, a)
	if !news {
		return
	}
	c.markUpstreamChanged(a)
	if a.Leaving {
		c.node.requestSync()
	}
}

// logUpstream logs when an upstream appears or begins to leave. It must be called before
// the announcement is added to the registry.
func (c *core) logUpstream(a upstream.Announcement) {
	before, known := c.known.Find(a.Name)
	switch {
	case known && a.Incarnation < before.Incarnation:
	case a.Leaving && (!known || !before.Leaving):
		eventUpstreamLeaving.Log(c.log, upstreamFields(a))
	case !known || a.Incarnation > before.Incarnation:
		eventUpstreamDiscovered.Log(c.log, upstreamFields(a))
	}
}

func upstreamFields(a upstream.Announcement) event.Fields {
	return event.Fields{
		"upstream": a.Name, "incarnation": a.Incarnation, "address": a.Address, "targets": a.Targets, "sequence": a.Sequence,
	}
}

// markUpstreamChanged schedules a new view with the upstream's change: at once if it is
// leaving, otherwise within viewInterval.
func (c *core) markUpstreamChanged(a upstream.Announcement) {
	if a.Leaving {
		c.views.dirty()
		if c.fanout != nil {
			c.fanout.leaving = true
		}
		return
	}
	c.views.stale()
}

// drain removes this instance from the addresses given to callers.
func (c *core) drain(now time.Time) {
	c.self.State = membership.Draining
	c.views.dirty()
	if c.group != nil {
		c.group.handOver(now)
	}
}

func (c *core) freshFor() time.Duration {
	if c.installed.tree == nil || c.installed.tree.Fleet.FreshFor == 0 {
		return c.timing.Fresh
	}
	return c.installed.tree.Fleet.FreshFor
}

func (c *core) close() {
	if c.group != nil {
		c.group.close()
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
