package attachment

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"celeryport/membership"
)

// Order sorts the addresses of voters by the preference of an instance: voters in its own
// availability zone come first, and within a zone the order follows a hash of both names, so
// that each voter gets an equal share of the instances. The address that failed last comes
// last.
func Order(addresses []string, instances []membership.Instance, name, availabilityZone, failed string) []string {
	zones := map[string]string{}
	for i := range instances {
		zones[instances[i].ControlAddress] = instances[i].AvailabilityZone
	}
	var sameZone, otherZones []string
	for _, address := range shuffled(addresses, name) {
		switch {
		case address == failed:
		case availabilityZone != "" && zones[address] == availabilityZone:
			sameZone = append(sameZone, address)
		default:
			otherZones = append(otherZones, address)
		}
	}
	sameZone = append(sameZone, otherZones...)
	if failed != "" && slices.Contains(addresses, failed) {
		sameZone = append(sameZone, failed)
	}
	return sameZone
}

// shuffled returns the list in a pseudo-random order that depends on name. Every address is
// equally likely at every position, regardless of which addresses are removed afterwards.
func shuffled(list []string, name string) []string {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(name+" "+a), xxhash.Sum64String(name+" "+b)), cmp.Compare(a, b))
	})
	return list
}
