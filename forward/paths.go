package forward

import (
	"time"

	"celeryport/event"
	"celeryport/reach"
)

// servicePaths is the state of this instance's network paths to the upstreams of one service.
type servicePaths struct {
	reach.Paths
}

// pathsOf returns the paths to the upstreams of a service. The lock must be held.
func (f *fleet) pathsOf(service string) *servicePaths {
	p := f.paths[service]
	if p == nil {
		p = &servicePaths{}
		f.paths[service] = p
	}
	return p
}

// recordConnected records that a node accepted a new connection.
func (f *fleet) recordConnected(n *node) {
	now := time.Now()
	f.mu.Lock()
	p := f.pathsOf(n.service)
	lostFor := p.LostFor(now)
	restored := p.Connected()
	f.mu.Unlock()
	if restored {
		f.options.Metrics.pathsLost(n.service, false)
		eventPathsRestored.Log(f.options.Log, event.Fields{
			"service": n.service, "upstream": n.name, "address": n.address, "after_ms": lostFor.Milliseconds(),
		})
	}
}

// recordNotConnected records that a node accepted no new connection.
func (f *fleet) recordNotConnected(n *node, cause error) {
	now := time.Now()
	f.mu.Lock()
	known := len(f.options.Plane.View().Upstreams.Serving(n.service))
	lost := f.pathsOf(n.service).Failed(now, n.key, known)
	f.mu.Unlock()
	if lost {
		f.options.Metrics.pathsLost(n.service, true)
		eventPathsLost.Log(f.options.Log, event.Fields{
			"service": n.service, "upstream": n.name, "address": n.address, "upstreams": known, "error": cause.Error(),
		})
	}
}
