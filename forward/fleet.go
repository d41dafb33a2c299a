package forward

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"celeryport/endings"
	"celeryport/helping"
	"celeryport/loadshare"
	"celeryport/outlier"
	"celeryport/paths"
	"celeryport/recovery"
	"celeryport/transit"
	"celeryport/upstream"
)

// fleet holds what this instance knows about the upstreams, and the loads that all instances
// cause on them.
type fleet struct {
	options          *Options
	mu               sync.Mutex
	nodes            map[incarnationID]*node
	byName           map[string][]*node // the incarnations of each upstream
	byAddress        map[string]*node   // by address: the node that was announced there last
	sweptAt          time.Time
	peers            map[netip.AddrPort]time.Time // when the last report of each instance of the own zone arrived
	startedAt        time.Time                    // start of this instance; earlier silence of an upstream is not significant
	board            *loadshare.Board             // loads of the other instances of the own availability zone
	zones            *loadshare.Zones             // loads of the other zones
	view             *recovery.View               // whether the loads of the other instances are known
	viewLogged       bool                         // the view was complete at the last tick
	recoveringUntil  atomic.Int64                 // in Unix nanoseconds; 0 until the list of instances has arrived
	spread           recovery.Spread              // where calls start while they are not
	loadsChanged     chan struct{}                // signals that the own loads have changed
	zoneLoadsChanged chan struct{}                // signals that the loads of the own zone have changed
	random           *rand.Rand
	suspects         *suspects
	rates            *rates
	transits         *transit.Pool
	paths            *paths.Monitor
	endings          map[string]*endings.History // recent terminations of the engines of each service
	outliers         map[string]*outlier.Detector
	helping          map[string]*helping.Record // of the engines of each service
	contactChanged   chan struct{}              // as contactChange returns it
	closed           bool                       // connections are not kept any more
}

// sweepInterval is how often unneeded connections and nodes are removed.
const sweepInterval = time.Second

// newFleet returns an empty fleet. callRate returns the recent rate of calls per second at this
// instance for a service.
func newFleet(options *Options, callRate func(now time.Time, service string) float64) *fleet {
	dialer := &net.Dialer{KeepAliveConfig: upstreamKeepAlive}
	if options.Dial == nil {
		options.Dial = dialer.DialContext
	}
	if options.DialPeer == nil {
		options.DialPeer = dialer.DialContext
	}
	now := time.Now()
	random := rand.New(rand.NewPCG(options.Random.Uint64(), options.Random.Uint64()))
	f := &fleet{
		options:          options,
		nodes:            map[incarnationID]*node{},
		byName:           map[string][]*node{},
		byAddress:        map[string]*node{},
		board:            loadshare.NewBoard(),
		zones:            loadshare.NewZones(loadshare.KeyOf(options.Process.AvailabilityZone)),
		peers:            map[netip.AddrPort]time.Time{},
		loadsChanged:     make(chan struct{}, 1),
		zoneLoadsChanged: make(chan struct{}, 1),
		random:           random,
		suspects:         newSuspects(options),
		rates:            newRates(callRate),
		startedAt:        now,
		view:             recovery.NewView(now),
		transits:         transit.NewPool(options.Process.Name, options.Process.AvailabilityZone, options.Process.InstanceKey, transit.Dial(options.DialPeer)),
		endings:          map[string]*endings.History{},
		outliers:         map[string]*outlier.Detector{},
		helping:          map[string]*helping.Record{},
		contactChanged:   make(chan struct{}),
	}
	f.paths = paths.NewMonitor(dialThrough(options), pathFleet{f})
	return f
}

// dialThrough returns the function that opens connections to upstreams.
func dialThrough(options *Options) paths.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		return options.Dial(ctx, network, address)
	}
}

// upstreamKeepAlive detects connections whose peer is gone: a silent one is closed after some seconds
// without an answer to the kernel's probes. The probes last for longer than failover.MaxSoundSilence, since a
// machine that passes nothing for that time may go on.
var upstreamKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// node returns the node of an upstream's incarnation and creates it if needed. The lock must be
// held.
func (f *fleet) node(u *upstream.Upstream) *node {
	a := &u.Announcement
	id := incarnationOf(a)
	n := f.nodes[id]
	if n == nil {
		n = &node{incarnationID: id, address: a.Address, zone: a.AvailabilityZone, key: id.loadKey(), announced: u.AnnouncedAt}
		if len(a.Targets) > 0 {
			n.service = a.Targets[0]
			n.detector = f.detector(n.service)
		}
		if now := time.Now(); now.Sub(f.startedAt) >= startupGrace {
			n.startedAt = now // earlier, this instance learns of engines that have been running
		}
		f.retireEarlier(id)
		f.nodes[id] = n
		f.byName[id.name] = append(f.byName[id.name], n)
		if before := f.byAddress[n.address]; before == nil || !n.announced.Before(before.announced) {
			f.byAddress[n.address] = n
		}
	}
	n.heardAt, n.freshUntil, n.cold.announced, n.cold.restoredAt = u.AnnouncedAt, u.FreshUntil, u.ColdUntil, u.RestoredAt
	if n.outlives(f.byAddress[n.address]) {
		f.byAddress[n.address] = n
	}
	return n
}

// outlivedAfter is how much later than another upstream one at its address must have announced itself to be the one
// that runs there, although the other one was announced first at a later time. It is longer than the usual
// announcement interval.
const outlivedAfter = 2 * time.Second

// outlives reports whether a node runs at an address although another one was announced there last: the only
// announcement of an upstream that has ended may arrive after that of its successor. The lock must be held.
func (n *node) outlives(last *node) bool {
	return last == nil || last != n && !n.replaced && (last.replaced || n.heardAt.Sub(last.heardAt) >= outlivedAfter)
}

// eligible reports whether a node may get work. Of several nodes at one address only the one
// announced last is eligible, or one that has outlived it: an engine that was started at the address of a dead one does not
// answer calls addressed to the dead one, and rejects a prompt that lists the address twice. The
// lock must be held.
func (f *fleet) eligible(n *node, u *upstream.Upstream) bool {
	return !n.replaced && !u.Announcement.Leaving && !u.Evacuated && n.leavingAt.IsZero() && f.byAddress[n.address] == n
}

// retireEarlier retires the earlier incarnations of an upstream that has restarted. The new
// process has none of their calls, but if the engine crashed behind a network failure, no reset
// arrives: the streams would wait for the silence time-out, 0.6 s or more, before they are
// resumed elsewhere. An unstated incarnation may be the current one and is not retired. The lock
// must be held.
func (f *fleet) retireEarlier(id incarnationID) {
	for _, former := range f.byName[id.name] {
		if former.incarnation < id.incarnation && former.incarnation > upstream.UnknownIncarnation {
			f.retire(former)
		}
	}
}

// retire marks a node as replaced and closes its connections. The lock must be held.
func (f *fleet) retire(n *node) {
	if !n.replaced {
		n.replaced, n.replacedAt = true, time.Now()
	}
	f.recordEnding(time.Now(), n)
	for c := range n.busy {
		c.close()
	}
	for _, c := range n.idle {
		c.close()
	}
	n.idle = nil
}

// lastReplaced returns when a node of a service was last found to be replaced, zero if none was. The
// lock must be held.
func (f *fleet) lastReplaced(service string) time.Time {
	var last time.Time
	for _, n := range f.nodes {
		if n.service == service && n.replacedAt.After(last) {
			last = n.replacedAt
		}
	}
	return last
}

// inUse returns the nodes of a service that are eligible for work, by the keys under which loads
// are reported. The lock must be held.
func (f *fleet) inUse(snapshot *upstream.Snapshot, service string) map[loadshare.Key]*node {
	eligibleNodes, _ := f.eligibleNodes(snapshot, service)
	nodes := make(map[loadshare.Key]*node, len(eligibleNodes))
	for _, n := range eligibleNodes {
		nodes[n.key] = n
	}
	return nodes
}

// sweep closes idle connections that are too old and removes nodes that are no longer listed.
// The lock must be held.
func (f *fleet) sweep(now time.Time, snapshot *upstream.Snapshot) {
	if now.Sub(f.sweptAt) < sweepInterval {
		return
	}
	f.sweptAt = now
	for service, d := range f.outliers {
		d.Sweep(now)
		f.helpingAt(service).Sweep(now)
	}
	listed := make(map[incarnationID]bool, len(snapshot.Upstreams))
	for i := range snapshot.Upstreams {
		listed[incarnationOf(&snapshot.Upstreams[i].Announcement)] = true
	}
	for id, n := range f.nodes {
		kept := n.idle[:0]
		for _, c := range n.idle {
			if listed[id] && c.worthKeeping(now) {
				kept = append(kept, c)
				continue
			}
			c.close()
		}
		clear(n.idle[len(kept):])
		n.idle = kept
		if !listed[id] && n.load == (loadshare.Load{}) && len(n.reading) == 0 && !n.mustRetain(now) {
			f.forget(n)
			f.rates.limiter.Unlimited(n.key)
			if f.byAddress[n.address] == n {
				delete(f.byAddress, n.address)
			}
		}
	}
}

// forget removes a node that is no longer listed. The lock must be held.
func (f *fleet) forget(n *node) {
	delete(f.nodes, n.incarnationID)
	f.byName[n.name] = slices.DeleteFunc(f.byName[n.name], func(other *node) bool { return other == n })
	if len(f.byName[n.name]) == 0 {
		delete(f.byName, n.name)
	}
}

// notifyChanged triggers the reports of the loads to the other instances.
func (f *fleet) notifyChanged() {
	wake(f.loadsChanged)
	wake(f.zoneLoadsChanged)
}

// wake signals a channel without blocking; a signal that is already pending covers this one.
func wake(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	f.transits.Close()
	for _, n := range f.nodes {
		for _, c := range n.idle {
			c.close()
		}
		n.idle = nil
	}
}
