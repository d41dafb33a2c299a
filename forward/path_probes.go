package forward

import (
	"context"
	"time"

	"celeryport/reach"
)

// probeOtherServices tries the paths to the other services when those to one are lost: the cause is
// likely to be the same, and calls that may not be repeated would find out at their cost.
func (f *fleet) probeOtherServices(lost string) {
	f.mu.Lock()
	var services []string
	for service, p := range f.paths {
		if service != lost && !p.Lost() {
			services = append(services, service)
		}
	}
	f.mu.Unlock()
	for _, service := range services {
		f.probePaths(service, reach.Quorum, reach.Quorum)
	}
}

// probeLostPaths tries one upstream of each service to which the paths are lost.
func (f *fleet) probeLostPaths() {
	f.mu.Lock()
	var services []string
	for service := range f.paths {
		if f.pathsLostLocked(service) {
			services = append(services, service)
		}
	}
	f.mu.Unlock()
	for _, service := range services {
		f.probePaths(service, 0, 1)
	}
}

// probePaths opens connections to between least and most upstreams of a service, in the background:
// as many as decide whether the paths are lost. The connections are kept for calls.
func (f *fleet) probePaths(service string, least, most int) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pathsOf(service)
	nodes, _ := f.eligibleNodes(f.options.Plane.View().Upstreams, service)
	missing := max(least, p.Missing(now, len(nodes)))
	for key := range p.probed {
		if !p.Decided(key) {
			missing--
		}
	}
	f.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	for _, n := range nodes {
		if missing <= 0 || most <= 0 {
			return
		}
		if p.Decided(n.key) || p.probed[n.key] || n.unavailable(now) != nil {
			continue
		}
		missing, most = missing-1, most-1
		p.probed[n.key] = true
		go f.probe(p, n)
	}
}

// probe opens a connection to a node to find out whether the paths to its service hold.
func (f *fleet) probe(p *servicePaths, n *node) {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	conn, err := f.open(ctx, n)
	f.mu.Lock()
	delete(p.probed, n.key)
	f.mu.Unlock()
	if err == nil {
		f.keep(n, newUpstreamConn(conn), 0)
	}
}

// watchPoll tries the paths to other upstreams if an answer that usually takes about a round trip does
// not come: on a connection that has been open for long, nothing else shows early that the paths are
// lost. The returned function ends the watch.
func (f *fleet) watchPoll(n *node) (stop func()) {
	f.mu.Lock()
	slow, known := f.pathsOf(n.service).latency.Slow()
	watched := known && f.peersExist() && !f.pathsLostLocked(n.service)
	f.mu.Unlock()
	if !watched {
		return func() {}
	}
	timer := time.AfterFunc(slow, func() { f.recordNotConnected(n, errSlow, 1) })
	return func() { timer.Stop() }
}
