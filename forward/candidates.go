package forward

import (
	"time"

	"celeryport/placement"
	"celeryport/upstream"
)

// candidates lists the nodes of a service and what is known of them. The lock must
// be held.
func (f *fleet) candidates(now time.Time, snapshot *upstream.Snapshot, service string) ([]*node, []placement.Engine) {
	nodes, upstreams := f.workers(snapshot, service)
	engines := make([]placement.Engine, 0, len(nodes))
	for i, n := range nodes {
		load := f.loadOf(now, n)
		engines = append(engines, placement.Engine{
			Load:  load,
			Order: uint64(n.key),
			Near:  n.zone == f.options.Process.AvailabilityZone,
			Avoid: n.health(now, load, f.silent(now, upstreams[i])).avoid(),
		})
	}
	return nodes, engines
}

// workers lists the nodes of a service that may get work, and what they announced. The
// lock must be held.
func (f *fleet) workers(snapshot *upstream.Snapshot, service string) ([]*node, []*upstream.Upstream) {
	serving := snapshot.Serving(service)
	for _, at := range serving {
		f.node(&snapshot.Upstreams[at]) // all are known before it is asked who has an address
	}
	nodes := make([]*node, 0, len(serving))
	upstreams := make([]*upstream.Upstream, 0, len(serving))
	for _, at := range serving {
		u := &snapshot.Upstreams[at]
		if n := f.node(u); f.mayWork(n, &u.Announcement) {
			nodes, upstreams = append(nodes, n), append(upstreams, u)
		}
	}
	return nodes, upstreams
}

// silent reports whether an upstream ceased to announce itself. An instance that has
// just started knows most upstreams from what was remembered, and could not hear them
// before: with those passed over, all calls of a fleet that is back from a loss of
// power go to the few engines that are heard first, and most are refused until all are.
func (f *fleet) silent(now time.Time, u *upstream.Upstream) bool {
	return u.StateAt(now) == upstream.Silent && now.Sub(f.began) >= startTime
}
