package forward

import (
	"celeryport/membership"
	"celeryport/peering"
)

// cachedPeering is the peering table of a list of instances.
type cachedPeering struct {
	instances []membership.Instance
	table     *peering.Table
}

// covers reports whether the table is that of a list. Lists of instances are immutable, so the
// same list has the same table.
func (c *cachedPeering) covers(instances []membership.Instance) bool {
	if c == nil || len(c.instances) != len(instances) {
		return false
	}
	return len(instances) == 0 || &c.instances[0] == &instances[0]
}

// peering returns the instances with which this one exchanges datagrams. It is derived from the
// list of all instances once, not for each datagram.
func (s *Server) peering() *peering.Table {
	instances := s.options.Plane.View().Instances
	if cached := s.peerings.Load(); cached.covers(instances) {
		return cached.table
	}
	table := peering.New(instances, s.options.Process.Name, s.options.Process.AvailabilityZone)
	s.peerings.Store(&cachedPeering{instances: instances, table: table})
	return table
}
