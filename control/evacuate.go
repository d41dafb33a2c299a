package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"celeryport/clock"
	"celeryport/control/state"
	"celeryport/evacuation"
	"celeryport/event"
	"celeryport/membership"
	"celeryport/upstream"
	"celeryport/verdict"
)

// EvacuateRequest is the body of CommandEvacuate. Evacuated is false to use the upstreams of
// the availability zone again.
type EvacuateRequest struct {
	Zone      string `json:"zone"`
	Evacuated bool   `json:"evacuated"`
}

// ZonesStatus is the response to CommandEvacuate and CommandZones.
type ZonesStatus struct {
	Version uint64       `json:"version"` // of the list of evacuated zones
	Zones   []ZoneStatus `json:"zones"`   // by name
}

// ZoneStatus describes an availability zone that an instance or an upstream has named.
type ZoneStatus struct {
	Name      string `json:"name"`
	Evacuated bool   `json:"evacuated"`
	Instances int    `json:"instances"` // that are not gone
	Upstreams int    `json:"upstreams"` // that are not leaving
}

// inForceInterval is how often a waiting command checks whether the instances have applied an
// evacuation.
const inForceInterval = 10 * time.Millisecond

// SetEvacuated evacuates an availability zone or restores it, through the current leader. It
// returns once every instance that may serve requests has applied the order. Repeating an
// order changes nothing. After an error with the verdict MayHaveRun the outcome is unknown.
func (n *Node) SetEvacuated(ctx context.Context, zone string, evacuated bool) error {
	body, err := encode(EvacuateRequest{Zone: zone, Evacuated: evacuated})
	if err != nil {
		return err
	}
	_, err = n.handlers[CommandEvacuate](ctx, body)
	return err
}

// evacuate is the handler of CommandEvacuate.
func (n *Node) evacuate(ctx context.Context, body []byte) ([]byte, error) {
	request, err := decode[EvacuateRequest](body)
	if err != nil {
		return nil, err
	}
	done := make(chan proposalResult, 1)
	err = n.whileLeading(ctx, func(now time.Time, g *group) error {
		l := n.core.leader
		if !l.knowsZone(request.Zone) {
			return verdict.Refuse(verdict.ReasonNotFound, 0, "no instance or upstream is in an availability zone %q", request.Zone)
		}
		if !l.votersSupport(state.VersionEvacuation) {
			return errOldVoters
		}
		order := &state.Evacuate{Zone: request.Zone, Evacuated: request.Evacuated}
		g.propose(now, &state.Command{At: now.Round(0).UTC(), Evacuate: order}, done)
		return nil
	})
	if err != nil {
		return nil, err
	}
	outcome, err := n.awaitProposal(ctx, done)
	if err != nil {
		return nil, err
	}
	return n.awaitEvacuation(ctx, outcome.Evacuated)
}

// awaitEvacuation waits until no instance sends work by an older list of evacuated zones. An
// instance that can't be reached delays this until its lease has ended.
func (n *Node) awaitEvacuation(ctx context.Context, version uint64) ([]byte, error) {
	for {
		var inForce bool
		var status ZonesStatus
		err := n.whileLeading(ctx, func(now time.Time, _ *group) error {
			l := n.core.leader
			inForce = l.table.EvacuationInForce(now, version)
			status = l.zonesStatus()
			return nil
		})
		if err != nil {
			return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonNotLeader, "the order is accepted but not known to be in force; send it again")
		}
		if inForce {
			return encode(status)
		}
		if !clock.Pause(ctx, inForceInterval) {
			return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonTimeout, "the order is accepted but not yet in force on every instance; send it again")
		}
	}
}

// listZones is the handler of CommandZones.
func (n *Node) listZones(ctx context.Context, _ []byte) ([]byte, error) {
	var status ZonesStatus
	err := n.asLeader(ctx, func(_ time.Time, l *leader) { status = l.zonesStatus() })
	if err != nil {
		return nil, err
	}
	return encode(status)
}

// knowsZone reports whether an instance or upstream is or was in an availability zone. A zone
// that was lost remains known, so that it can be evacuated.
func (l *leader) knowsZone(zone string) bool {
	return slices.ContainsFunc(l.zonesStatus().Zones, func(z ZoneStatus) bool { return z.Name == zone })
}

func (l *leader) zonesStatus() ZonesStatus {
	evacuated := l.core.newestEvacuated()
	zones := map[string]*ZoneStatus{}
	zone := func(name string) *ZoneStatus {
		if zones[name] == nil {
			zones[name] = &ZoneStatus{Name: name, Evacuated: evacuated.Covers(name)}
		}
		return zones[name]
	}
	for _, name := range evacuated.Names() {
		zone(name)
	}
	for _, i := range l.core.members.list() {
		zone(i.AvailabilityZone).count(&i)
	}
	l.core.known.Each(func(a *upstream.Announcement) {
		z := zone(a.AvailabilityZone)
		if !a.Leaving {
			z.Upstreams++
		}
	})
	status := ZonesStatus{Version: evacuation.VersionOf(evacuated)}
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		if name != "" {
			status.Zones = append(status.Zones, *zones[name])
		}
	}
	return status
}

func (z *ZoneStatus) count(i *membership.Instance) {
	if i.State != membership.Gone {
		z.Instances++
	}
}

// newestEvacuated returns the latest evacuated zones known here, from the log or a leader.
func (c *core) newestEvacuated() *evacuation.List {
	if c.group == nil {
		return c.evacuated
	}
	return evacuation.Newest(c.evacuated, c.group.machine.Evacuated())
}

// evacuatedAfter returns the evacuated zones, nil if the sender of the sync has the current
// version.
func (c *core) evacuatedAfter(r *syncRequest) *evacuation.List {
	newest := c.newestEvacuated()
	if evacuation.VersionOf(newest) <= r.Evacuated {
		return nil
	}
	return newest
}

// applyEvacuated replaces the evacuated zones, unless a delayed response brings an older
// version.
func (c *core) applyEvacuated(now time.Time, list *evacuation.List) {
	if evacuation.VersionOf(list) <= evacuation.VersionOf(c.evacuated) {
		return
	}
	for _, zone := range c.evacuated.Names() {
		if !list.Covers(zone) {
			c.restoredAt[zone] = now
		}
	}
	c.evacuated = list
	c.views.dirty()
	eventEvacuated.Log(c.log, event.Fields{"zones": list.Names(), "version": list.Version})
}
