package forward

import (
	"cmp"
	"net/netip"
	"slices"

	"celeryport/membership"
	"celeryport/settings"
)

// recipients lists the direct recipients of a report: peers are the other instances of the own
// availability zone, relays one instance of each other zone, which relays the report of a whole
// zone there. The relay changes with each report, so that the loss of an instance costs its zone
// only one report in as many as it has instances.
func recipients(instances []membership.Instance, self *settings.Process, sequence uint32) (peers, relays []netip.AddrPort) {
	zones := map[string][]*membership.Instance{}
	for i := range instances {
		other := &instances[i]
		if other.Address != "" && other.Name != self.Name && other.State != membership.Gone {
			zones[other.AvailabilityZone] = append(zones[other.AvailabilityZone], other)
		}
	}
	for zone, others := range zones {
		if zone == self.AvailabilityZone {
			peers = addressesOf(others)
			continue
		}
		slices.SortFunc(others, func(a, b *membership.Instance) int { return cmp.Compare(a.Name, b.Name) })
		next := (uint64(sequence) + rendezvousWeight(self.Name, 0)) % uint64(len(others))
		relays = append(relays, addressesOf(others[next:next+1])...)
	}
	return peers, relays
}

func addressesOf(instances []*membership.Instance) []netip.AddrPort {
	found := make([]netip.AddrPort, 0, len(instances))
	for _, i := range instances {
		if address, err := netip.ParseAddrPort(i.ControlAddress); err == nil {
			found = append(found, address)
		}
	}
	return found
}
