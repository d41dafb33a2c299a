package forward

import (
	"context"
	"net"
	"time"

	"celeryport/event"
	"celeryport/httpwire"
	"celeryport/paths"
)

// pathFleet implements paths.Fleet and paths.Checker.
type pathFleet struct{ *fleet }

// Known implements paths.Fleet.
func (f pathFleet) Known(service string) int {
	return len(f.options.Plane.View().Upstreams.Serving(service))
}

// Eligible implements paths.Fleet.
func (f pathFleet) Eligible(service string) []paths.Upstream {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	nodes, _ := f.eligibleNodes(f.options.Plane.View().Upstreams, service)
	f.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	upstreams := make([]paths.Upstream, len(nodes))
	for i, n := range nodes {
		upstreams[i] = *n.path()
		upstreams[i].Unavailable = n.unavailable(now) != nil
	}
	return upstreams
}

// path describes a node to package paths.
func (n *node) path() *paths.Upstream {
	return &paths.Upstream{Key: n.key, Name: n.name, Service: n.service, Address: n.address}
}

// PeersExist implements paths.Fleet.
func (f pathFleet) PeersExist() bool { return f.transits.Exist(f.options.Plane.View().Instances) }

// Probed implements paths.Fleet. The connection is kept for calls.
func (f pathFleet) Probed(u *paths.Upstream, conn net.Conn) {
	n := f.nodeOf(u)
	if n == nil {
		_ = conn.Close() // the upstream was replaced meanwhile
		return
	}
	f.keep(n, newUpstreamConn(conn), 0)
}

// nodeOf returns the node of an upstream, nil if it was replaced.
func (f pathFleet) nodeOf(u *paths.Upstream) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.byAddress[u.Address]; n != nil && n.key == u.Key {
		return n
	}
	return nil
}

// Check implements paths.Checker. An engine is polled and a plain service checked for its health; any
// answer shows that the path holds. A service that can be asked nothing counts as reached.
func (f pathFleet) Check(ctx context.Context, u *paths.Upstream, conn net.Conn) error {
	n, head := f.nodeOf(u), f.checkMessage(u)
	if n == nil || head == nil {
		f.Probed(u, conn)
		return nil
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // ends the wait for the answer
	defer stop()
	_, _, err := f.ask(ctx, n, newUpstreamConn(conn), head, nil)
	return err
}

// checkMessage returns the message that an upstream usually answers within a round trip, nil if there
// is none.
func (f pathFleet) checkMessage(u *paths.Upstream) *httpwire.RequestHead {
	tree := f.options.Plane.View().Tree
	if tree == nil || tree.Forwarding == nil {
		return nil
	}
	service := tree.Forwarding.Service(u.Service)
	switch {
	case service == nil:
		return nil
	case service.Engine != nil:
		return f.options.Dialect.ReportMessage(u.Address, u.Name)
	case service.HealthPath != "":
		return f.options.Dialect.HealthMessage(u.Address, u.Name, service.HealthPath)
	default:
		return nil
	}
}

// Lost implements paths.Fleet.
func (f pathFleet) Lost(u *paths.Upstream, known int, cause error) {
	f.forgetFailures(u.Service)
	f.options.Metrics.PathsLost(u.Service, true)
	eventPathsLost.Log(f.options.Log, event.Fields{
		"service": u.Service, "upstream": u.Name, "address": u.Address, "upstreams": known, "error": cause.Error(),
	})
	if f.PeersExist() {
		f.wakeSilentSends(u.Service)
		f.notifyChanged()
	}
}

// wakeSilentSends lets the sends to a service's nodes check their upstream early.
func (f *fleet) wakeSilentSends(service string) {
	soon := time.Now().Add(minListen)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if n.service != service {
			continue
		}
		for c := range n.busy {
			_ = c.conn.SetReadDeadline(soon) // a closed connection needs no wake-up
		}
	}
}

// Restored implements paths.Fleet.
func (f pathFleet) Restored(u *paths.Upstream, lostFor time.Duration) {
	f.clearSuspicions(u.Service)
	f.options.Metrics.PathsLost(u.Service, false)
	eventPathsRestored.Log(f.options.Log, event.Fields{
		"service": u.Service, "upstream": u.Name, "address": u.Address, "after_ms": lostFor.Milliseconds(),
	})
	f.notifyChanged()
}

// clearSuspicions forgets failures that were due to lost paths: otherwise the nodes would get no work
// for seconds after the paths are back.
func (f *fleet) clearSuspicions(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if n.service == service {
			n.suspicion.clear()
			n.failedAt, n.report.failedAt = time.Time{}, time.Time{}
		}
	}
}
