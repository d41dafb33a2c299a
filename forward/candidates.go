package forward

import (
	"time"

	"celeryport/placement"
	"celeryport/upstream"
)

// candidates are nodes of a service, and what is known of them.
type candidates struct {
	nodes   []*node
	engines []placement.Engine
}

func (c *candidates) add(n *node, e placement.Engine) {
	c.nodes, c.engines = append(c.nodes, n), append(c.engines, e)
}

// remove drops the nodes for which a condition holds.
func (c *candidates) remove(condition func(n *node) bool) {
	kept := 0
	for i, n := range c.nodes {
		if !condition(n) {
			c.nodes[kept], c.engines[kept] = n, c.engines[i]
			kept++
		}
	}
	c.nodes, c.engines = c.nodes[:kept], c.engines[:kept]
}

func (c *candidates) join(other *candidates) {
	c.nodes, c.engines = append(c.nodes, other.nodes...), append(c.engines, other.engines...)
}

// candidates lists the nodes of a service that may get work: those that name no rate, those
// whose rate leaves room for a request of this instance, and the number of the others. The
// lock must be held.
func (f *fleet) candidates(now time.Time, snapshot *upstream.Snapshot, service string) (free, open *candidates, full int) {
	nodes, upstreams := f.workers(snapshot, service)
	free = &candidates{nodes: make([]*node, 0, len(nodes)), engines: make([]placement.Engine, 0, len(nodes))}
	open = &candidates{}
	for i, n := range nodes {
		load := f.loadOf(now, n)
		engine := placement.Engine{
			Load:     load,
			Order:    uint64(n.key),
			SameZone: n.zone == f.options.Process.AvailabilityZone,
			Avoid:    n.health(now, load, f.silent(now, upstreams[i])).avoid(),
		}
		switch limited, may := f.limited(now, n); {
		case !limited:
			free.add(n, engine)
		case may:
			open.add(n, engine)
		default:
			full++
		}
	}
	return free, open, full
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
