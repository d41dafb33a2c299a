package attachment

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"celeryport/membership"
)

// Order lists the addresses of voters in the order in which an instance asks them:
// those of its own availability zone first, and within a zone by a hash of both names,
// so that each voter gets an equal part of the instances.
// The address that failed last goes to the end.
func Order(addresses []string, instances []membership.Instance, name, availabilityZone, failed string) []string {
	zones := map[string]string{}
	for i := range instances {
		zones[instances[i].ControlAddress] = instances[i].AvailabilityZone
	}
	var near, far []string
	for _, address := range shuffled(addresses, name) {
		switch {
		case address == failed:
		case availabilityZone != "" && zones[address] == availabilityZone:
			near = append(near, address)
		default:
			far = append(far, address)
		}
	}
	near = append(near, far...)
	if failed != "" && slices.Contains(addresses, failed) {
		near = append(near, failed)
	}
	return near
}

// shuffled returns a list in an order that differs with the name, and in which each
// place is as likely for each address, whatever part of the list is left out later.
func shuffled(list []string, name string) []string {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(name+" "+a), xxhash.Sum64String(name+" "+b)), cmp.Compare(a, b))
	})
	return list
}
