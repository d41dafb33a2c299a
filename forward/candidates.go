package forward

import (
	"slices"
	"time"

	"celeryport/loadshare"
	"celeryport/outlier"
	"celeryport/placement"
	"celeryport/upstream"
)

// candidates holds nodes of a service and the placement input for each of them.
type candidates struct {
	nodes   []*node
	engines []placement.Engine
}

func (c *candidates) add(n *node, e placement.Engine) {
	c.nodes, c.engines = append(c.nodes, n), append(c.engines, e)
}

// remove drops the nodes for which condition returns true.
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

// markCandidates marks the candidates that the call must not try again and those that must not
// lead it.
func (x *exchange) markCandidates(c *candidates) {
	leads, tries := x.allowedLeads(), x.mayTry(time.Now())
	for i, n := range c.nodes {
		c.engines[i].Failing = !n.verdict.Allows(tries || n == x.back)
		c.engines[i].Avoid = c.engines[i].Avoid && n != x.back || c.engines[i].Failing
		c.engines[i].Tried = slices.Contains(x.tried, n.key) || slices.Contains(x.excluded, n.key)
		c.engines[i].HelpOnly = len(leads) > 0 && !slices.Contains(leads, n.key)
	}
}

// candidates lists the nodes of a service that are eligible for work: free are those
// without a named rate, withRoom those whose named rate leaves room for a request of this
// instance, and full counts the nodes whose rate is used up. A cold node is among the free
// ones as long as this instance may send it a request. The lock must be held.
func (f *fleet) candidates(now time.Time, snapshot *upstream.Snapshot, service string) (free, withRoom *candidates, full int) {
	nodes, upstreams := f.eligibleNodes(snapshot, service)
	free = &candidates{nodes: make([]*node, 0, len(nodes)), engines: make([]placement.Engine, 0, len(nodes))}
	withRoom = &candidates{}
	frailty := f.frailty(now, service)
	loads, doubts := make([]loadshare.Load, len(nodes)), make([]int, len(nodes))
	for i, n := range nodes {
		loads[i] = f.loadOf(now, n)
		doubts[i] = loads[i].Doubts
	}
	f.judge(now, service, nodes, doubts)
	noHelp := f.avoidedHelpers(now, service, nodes)
	for i, n := range nodes {
		load := loads[i]
		failing := !n.verdict.Allows(true)
		engine := placement.Engine{
			Load:     load,
			Order:    uint64(n.key),
			SameZone: n.zone == f.options.Process.AvailabilityZone,
			Avoid:    n.health(now, load, f.silent(now, upstreams[i])).avoid() || failing,
			Failing:  failing,
			Frail:    frailty.of(n, upstreams[i], &load) || n.verdict != outlier.Use || noHelp[i], // a part is no probe, and fails a whole prompt
		}
		switch limit, open := f.limited(now, n); {
		case !open:
			full++
		case limit == limitNamed:
			withRoom.add(n, engine)
		default:
			free.add(n, engine)
		}
	}
	return free, withRoom, full
}

// eligibleNodes lists the nodes of a service that are eligible for work, with the upstream entry
// of each. The lock must be held.
func (f *fleet) eligibleNodes(snapshot *upstream.Snapshot, service string) ([]*node, []*upstream.Upstream) {
	serving := snapshot.Serving(service)
	for _, at := range serving {
		f.node(&snapshot.Upstreams[at]) // register all nodes before eligible looks up the node of an address
	}
	nodes := make([]*node, 0, len(serving))
	upstreams := make([]*upstream.Upstream, 0, len(serving))
	for _, at := range serving {
		u := &snapshot.Upstreams[at]
		if n := f.node(u); f.eligible(n, u) {
			nodes, upstreams = append(nodes, n), append(upstreams, u)
		}
	}
	return nodes, upstreams
}

// silent reports whether an upstream has stopped announcing itself. An instance that has just
// started knows most upstreams only from restored state and had no chance to receive their
// announcements, so silence does not count during startup. Otherwise, after a power loss of the
// whole fleet, all calls would go to the few engines that announce themselves first, and most
// would be refused.
func (f *fleet) silent(now time.Time, u *upstream.Upstream) bool {
	return u.StateAt(now) == upstream.Silent && now.Sub(f.startedAt) >= startupGrace
}
