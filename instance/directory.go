package instance

import "celeryport/membership"

// enoughNearby is how many instances of the caller's own availability zone are
// enough to give out no others: with one alone, a caller that can't reach it
// would have nowhere to go until it asks again.
const enoughNearby = 2

// mostAddresses bounds one answer.
const mostAddresses = 64

// addresses lists the traffic addresses for callers of an availability zone: the
// instances of that zone, whose bytes cross no zone, or all if they are too few.
func (f *forwarding) addresses(availabilityZone string) []string {
	return addressesFor(f.node.View().Instances, availabilityZone)
}

func addressesFor(instances []membership.Instance, availabilityZone string) []string {
	near := takingCalls(instances, func(i *membership.Instance) bool {
		return i.State == membership.Live && i.AvailabilityZone == availabilityZone
	})
	if len(near) >= enoughNearby {
		return near
	}
	if live := takingCalls(instances, func(i *membership.Instance) bool { return i.State == membership.Live }); len(live) > 0 {
		return live
	}
	// None is known to live, most likely because this instance is cut off from the
	// others: an old address is better for a caller than none.
	return takingCalls(instances, func(i *membership.Instance) bool { return i.State != membership.Draining })
}

func takingCalls(instances []membership.Instance, wanted func(*membership.Instance) bool) []string {
	var found []string
	for i := range instances {
		if instances[i].Address != "" && wanted(&instances[i]) && len(found) < mostAddresses {
			found = append(found, instances[i].Address)
		}
	}
	return found
}
