package instance

import "celeryport/membership"

// minZoneInstances is how many live instances an availability zone needs for its callers to
// get addresses of this zone only. With a single address, a caller that cannot reach that
// instance would have no alternative until it requests the list again.
const minZoneInstances = 2

// maxAddresses bounds the number of addresses in one answer.
const maxAddresses = 64

// addresses returns the traffic addresses for callers in an availability zone: those of the
// instances in the same zone, which avoids traffic between zones, or those of all live
// instances if the zone has too few.
func (f *forwarding) addresses(availabilityZone string) []string {
	return addressesFor(f.node.View().Instances, availabilityZone)
}

func addressesFor(instances []membership.Instance, availabilityZone string) []string {
	sameZone := selectAddresses(instances, func(i *membership.Instance) bool {
		return i.State == membership.Live && i.AvailabilityZone == availabilityZone
	})
	if len(sameZone) >= minZoneInstances {
		return sameZone
	}
	if live := selectAddresses(instances, func(i *membership.Instance) bool { return i.State == membership.Live }); len(live) > 0 {
		return live
	}
	// No instance is known to be live, most likely because this instance is disconnected
	// from the others. An outdated address is better for a caller than none.
	return selectAddresses(instances, func(i *membership.Instance) bool { return i.State != membership.Draining })
}

func selectAddresses(instances []membership.Instance, include func(*membership.Instance) bool) []string {
	var found []string
	for i := range instances {
		if instances[i].Address != "" && include(&instances[i]) && len(found) < maxAddresses {
			found = append(found, instances[i].Address)
		}
	}
	return found
}
