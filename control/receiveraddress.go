package control

import (
	"github.com/cespare/xxhash/v2"

	"celeryport/membership"
)

// ReceiverAddress returns the control address of the instance to which an upstream should
// send its announcements, empty if it should keep sending them to this one.
//
// Each upstream announces itself every second. If a few voters received the announcements
// of hundreds of upstreams, their small processors would have no time left to lead, and
// leaving upstreams would not be acknowledged. There are many more instances that forward
// requests: each receives the announcements of a few upstreams, and sends the changes with
// its own syncs. Instances of the upstream's availability zone are preferred, which avoids
// traffic between zones.
func (n *Node) ReceiverAddress(name, availabilityZone string) string {
	if !n.opts.Process.Voter || !n.opts.FanOut {
		return ""
	}
	return receiverAddress(n.View().Instances, name, availabilityZone)
}

// nameBufferSize is the buffer size in bytes for the names of an upstream and an instance.
const nameBufferSize = 128

func receiverAddress(instances []membership.Instance, name, availabilityZone string) string {
	var best string
	var bestNear bool
	var most uint64
	both := append(make([]byte, 0, nameBufferSize), name...)
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
