package control

import (
	"github.com/cespare/xxhash/v2"

	"celeryport/membership"
)

// HearingAddress returns the control address of the instance that should hear an
// upstream from now on, empty if this one may go on hearing it.
//
// Each upstream announces itself every second. If the few voters hear hundreds of them
// in person, their small processors have no time left to lead, and upstreams that
// leave are not acknowledged. There are many more instances that forward calls: each
// hears a few upstreams, and passes on what changes with its own syncs. Those of the
// upstream's availability zone go first, so that no bytes cross to another one.
func (n *Node) HearingAddress(name, availabilityZone string) string {
	if !n.opts.Process.Voter || !n.opts.FanOut {
		return ""
	}
	return hearingAddress(n.View().Instances, name, availabilityZone)
}

// usualNames is room for the names of an upstream and of an instance, in bytes.
const usualNames = 128

func hearingAddress(instances []membership.Instance, name, availabilityZone string) string {
	var best string
	var bestNear bool
	var most uint64
	both := append(make([]byte, 0, usualNames), name...)
	both = append(both, ' ')
	for i := range instances {
		one := &instances[i]
		if one.State != membership.Live || one.Voter || one.Address == "" {
			continue
		}
		near := one.AvailabilityZone == availabilityZone
		if bestNear && !near {
			continue
		}
		weight := xxhash.Sum64(append(both, one.Name...))
		if best == "" || near && !bestNear || near == bestNear && weight > most {
			best, bestNear, most = one.ControlAddress, near, weight
		}
	}
	return best
}
