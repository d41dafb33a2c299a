package forward

import (
	"time"

	"celeryport/placement"
	"celeryport/upstream"
)

// candidates lists the nodes of a service and what is known of them. The lock must
// be held.
func (f *fleet) candidates(now time.Time, snapshot *upstream.Snapshot, service string) ([]*node, []placement.Engine) {
	serving := snapshot.Serving(service)
	nodes := make([]*node, 0, len(serving))
	engines := make([]placement.Engine, 0, len(serving))
	for _, at := range serving {
		u := &snapshot.Upstreams[at]
		n := f.node(u)
		if n.replaced || u.Announcement.Leaving {
			continue
		}
		load := f.loadOf(now, n)
		nodes = append(nodes, n)
		engines = append(engines, placement.Engine{
			Load:  load,
			Order: uint64(n.key),
			Near:  n.zone == f.options.Process.AvailabilityZone,
			Avoid: n.standing(now, load, f.silent(now, u)).avoid(),
		})
	}
	return nodes, engines
}

// silent reports whether an upstream ceased to announce itself. An instance that has
// just started knows most upstreams from what was remembered, and could not hear them
// before: with those passed over, all calls of a fleet that is back from a loss of
// power go to the few engines that are heard first, and most are refused until all are.
func (f *fleet) silent(now time.Time, u *upstream.Upstream) bool {
	return u.StateAt(now) == upstream.Silent && now.Sub(f.began) >= startTime
}
