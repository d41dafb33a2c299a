package forward

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/event"
	"celeryport/loadshare"
	"celeryport/reach"
)

// errPathsLost ends the opening of a connection when the paths to the upstreams of the service turn
// out to be lost: the call need not wait for its time-out.
var errPathsLost = errors.New("the paths to the upstreams of the service are lost")

// errSlow is the evidence of a connection, or of a poll, that takes much longer than usual.
var errSlow = errors.New("the connection or the answer takes long")

// slowGrace is how long the result of a connection that seems slow is awaited: after a suspension of
// this process the time has passed although the result is there.
const slowGrace = 5 * time.Millisecond

// servicePaths is the state of this instance's network paths to the upstreams of one service.
type servicePaths struct {
	reach.Paths
	latency reach.Latency
	opening map[*opening]struct{}  // connections that are being opened
	probed  map[loadshare.Key]bool // upstreams to which a probing connection is being opened
}

// opening is a connection that is being opened.
type opening struct {
	cancel context.CancelCauseFunc
}

// pathsOf returns the paths to the upstreams of a service. The lock must be held.
func (f *fleet) pathsOf(service string) *servicePaths {
	p := f.paths[service]
	if p == nil {
		p = &servicePaths{opening: map[*opening]struct{}{}, probed: map[loadshare.Key]bool{}}
		f.paths[service] = p
	}
	return p
}

// pathsLost reports whether this instance has lost its paths to the upstreams of a service although
// other instances may have theirs.
func (f *fleet) pathsLost(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pathsLostLocked(service)
}

// anyPathsLost reports, without a lock, whether the paths to any service may be lost.
func (f *fleet) anyPathsLost() bool { return f.lostServices.Load() > 0 }

// pathsLostLocked is pathsLost with the lock held.
func (f *fleet) pathsLostLocked(service string) bool {
	p := f.paths[service]
	return p != nil && p.Lost() && f.peersExist()
}

// pathsDoubtful reports whether failures of upstreams of a service may be due to this instance's
// paths to them. The lock must be held.
func (f *fleet) pathsDoubtful(now time.Time, service string) bool {
	p := f.paths[service]
	return p != nil && p.Doubtful(now) && f.peersExist()
}

// open opens a new connection to a node and records what that shows about the paths to the node's
// service.
func (f *fleet) open(ctx context.Context, n *node) (net.Conn, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	began := time.Now()
	o := &opening{cancel: cancel}
	f.mu.Lock()
	p := f.pathsOf(n.service)
	slow, known := p.latency.Slow()
	p.opening[o] = struct{}{}
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(p.opening, o)
		f.mu.Unlock()
	}()
	if known {
		defer f.watchSlow(ctx, n, slow)()
	}
	conn, err := f.options.Dial(ctx, "tcp", n.address)
	if err == nil {
		f.recordConnected(n, time.Since(began))
		return conn, nil
	}
	if errors.Is(context.Cause(ctx), errPathsLost) {
		return nil, errPathsLost
	}
	if !errors.Is(err, context.Canceled) { // the caller left
		f.recordNotConnected(n, err, 1)
	}
	return nil, err
}

// watchSlow records evidence against a node if opening a connection takes long. The returned
// function ends the watch.
func (f *fleet) watchSlow(ctx context.Context, n *node, slow time.Duration) (stop func()) {
	ended := make(chan struct{})
	timer := time.AfterFunc(slow, func() {
		grace := time.NewTimer(slowGrace)
		defer grace.Stop()
		select {
		case <-ended:
		case <-ctx.Done():
		case <-grace.C:
			f.recordNotConnected(n, errSlow, reach.Quorum)
		}
	})
	return func() {
		timer.Stop()
		close(ended)
	}
}

// recordConnected records that a node accepted a new connection.
func (f *fleet) recordConnected(n *node, took time.Duration) {
	now := time.Now()
	f.mu.Lock()
	p := f.pathsOf(n.service)
	p.latency.Record(took)
	lostFor := p.LostFor(now)
	restored := p.Connected(n.key, f.known(n.service))
	undecided := f.pathsLostLocked(n.service)
	if restored {
		f.lostServices.Add(-1)
		f.clearSuspicions(n.service)
	}
	f.mu.Unlock()
	if restored {
		f.options.Metrics.pathsLost(n.service, false)
		eventPathsRestored.Log(f.options.Log, event.Fields{
			"service": n.service, "upstream": n.name, "address": n.address, "after_ms": lostFor.Milliseconds(),
		})
		f.notifyChanged()
	}
	if undecided {
		f.probePaths(n.service, 0, reach.Quorum)
	}
}

// known returns how many upstreams a service has.
func (f *fleet) known(service string) int {
	return len(f.options.Plane.View().Upstreams.Serving(service))
}

// clearSuspicions forgets failures that were due to lost paths: otherwise the nodes would get no work
// for seconds after the paths are back. The lock must be held.
func (f *fleet) clearSuspicions(service string) {
	for _, n := range f.nodes {
		if n.service == service {
			n.suspicion.clear()
			n.failedAt, n.report.failedAt = time.Time{}, time.Time{}
		}
	}
}

// recordNotConnected records that a node accepted no new connection, or did not answer a poll. As
// long as that leaves open whether the node or the paths failed, it tries up to the given number of
// other nodes.
func (f *fleet) recordNotConnected(n *node, cause error, probes int) {
	now := time.Now()
	f.mu.Lock()
	known := f.known(n.service)
	p := f.pathsOf(n.service)
	lost := p.Failed(now, n.key, known)
	undecided := !p.Lost()
	peers := f.peersExist()
	if lost {
		f.lostServices.Add(1)
	}
	if lost && peers {
		for o := range p.opening {
			o.cancel(errPathsLost)
		}
		f.wakeSilentSends(n.service)
	}
	f.mu.Unlock()
	switch {
	case lost:
		f.options.Metrics.pathsLost(n.service, true)
		eventPathsLost.Log(f.options.Log, event.Fields{
			"service": n.service, "upstream": n.name, "address": n.address, "upstreams": known, "error": cause.Error(),
		})
		if peers {
			f.probeOtherServices(n.service)
			f.notifyChanged()
		}
	case undecided && peers:
		f.probePaths(n.service, 0, probes)
	}
}

// awaitPaths waits until it is known whether failures of a service's upstreams are due to the paths,
// at most about as long as a slow connection takes, and returns whether they are.
func (f *fleet) awaitPaths(service string) (lost bool) {
	for until := time.Now().Add(maxPathsWait); ; time.Sleep(pathsWaitTick) {
		now := time.Now()
		f.mu.Lock()
		lost, probing := f.pathsLostLocked(service), f.pathsDoubtful(now, service) && len(f.pathsOf(service).probed) > 0
		f.mu.Unlock()
		if lost || !probing || now.After(until) {
			return lost || probing
		}
	}
}

const (
	// maxPathsWait is the time within which connections to several upstreams are refused or slow.
	maxPathsWait = 150 * time.Millisecond
	// pathsWaitTick is about the round trip between availability zones.
	pathsWaitTick = 2 * time.Millisecond
)

// wakeSilentSends lets the sends to a service's nodes check their upstream early. The lock must be
// held.
func (f *fleet) wakeSilentSends(service string) {
	soon := time.Now().Add(minListen)
	for _, n := range f.nodes {
		if n.service != service {
			continue
		}
		for c := range n.busy {
			_ = c.conn.SetReadDeadline(soon) // a closed connection needs no wake-up
		}
	}
}

// pathsSevered reports whether this instance has reached no upstream of a service since its paths were
// lost.
func (f *fleet) pathsSevered(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.paths[service]
	return p != nil && p.Severed() && f.peersExist()
}

// peersExist reports whether other instances can handle calls for this one.
func (f *fleet) peersExist() bool { return f.transits.Exist(f.options.Plane.View().Instances) }
