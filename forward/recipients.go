package forward

import (
	"cmp"
	"net/netip"
	"slices"

	"celeryport/membership"
	"celeryport/settings"
)

// recipients lists who gets a report directly: the other instances of the own
// availability zone, and, of a report of the whole zone, one of each other zone that
// sends it on. That one changes
// with each report, so that the loss of an instance costs its zone one report in as
// many as it has instances.
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
		turn := (uint64(sequence) + weightFor(self.Name, 0)) % uint64(len(others))
		relays = append(relays, addressesOf(others[turn:turn+1])...)
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
