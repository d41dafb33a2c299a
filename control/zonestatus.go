package control

import (
	"maps"
	"slices"

	"celeryport/evacuation"
	"celeryport/membership"
	"celeryport/upstream"
)

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
