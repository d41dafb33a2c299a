package forward

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"celeryport/loadshare"
	"celeryport/upstream"
)

// fleet is what this instance knows of the upstreams from its own sends.
type fleet struct {
	options   *Options
	mu        sync.Mutex
	nodes     map[start]*node
	occupants map[string]*node // who has an address: the node that was announced there last
	swept     time.Time
	peers     map[netip.AddrPort]time.Time // when instances of the own zone were heard last
	began     time.Time                    // of this instance; silence before it says nothing
	board     *loadshare.Board             // of the other instances of the own availability zone
	zones     *loadshare.Zones             // of the other zones
	news      chan struct{}                // the loads have changed
	zoneNews  chan struct{}                // the loads of the own zone have changed
	random    *rand.Rand
	suspects  *suspects
	rates     *rates
}

// sweepInterval is how often connections and nodes that are not needed any more
// are dropped.
const sweepInterval = time.Second

// newFleet returns an empty fleet. arrival tells how many calls a second come here for a
// service.
func newFleet(options *Options, arrival func(now time.Time, service string) float64) *fleet {
	if options.Dial == nil {
		dialer := &net.Dialer{KeepAliveConfig: upstreamKeepAlive}
		options.Dial = dialer.DialContext
	}
	random := rand.New(rand.NewPCG(options.Random.Uint64(), options.Random.Uint64()))
	return &fleet{
		options:   options,
		nodes:     map[start]*node{},
		occupants: map[string]*node{},
		board:     loadshare.NewBoard(),
		zones:     loadshare.NewZones(loadshare.KeyOf(options.Process.AvailabilityZone)),
		peers:     map[netip.AddrPort]time.Time{},
		news:      make(chan struct{}, 1),
		zoneNews:  make(chan struct{}, 1),
		random:    random,
		suspects:  newSuspects(options),
		rates:     newRates(arrival),
		began:     time.Now(),
	}
}

// upstreamKeepAlive finds connections that went silent for good: an idle one is
// given up after about two seconds without an answer to the kernel's probes.
var upstreamKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 1}

// node returns the state of an incarnation. The lock must be held.
func (f *fleet) node(u *upstream.Upstream) *node {
	a := &u.Announcement
	id := startOf(a)
	n := f.nodes[id]
	if n == nil {
		n = &node{start: id, address: a.Address, zone: a.AvailabilityZone, key: id.loadKey(), announced: u.HeardAt}
		if len(a.Targets) > 0 {
			n.service = a.Targets[0]
		}
		f.retireBefore(id)
		f.nodes[id] = n
		if before := f.occupants[n.address]; before == nil || !n.announced.Before(before.announced) {
			f.occupants[n.address] = n
		}
	}
	return n
}

// mayWork reports whether a node may get work. Of several at one address only the one
// that was announced there last is there: an engine that was started anew at the address
// of a dead one does not answer for it, and rejects a prompt that lists its address twice.
// The lock must be held.
func (f *fleet) mayWork(n *node, a *upstream.Announcement) bool {
	return !n.replaced && !a.Leaving && n.leavingAt.IsZero() && f.occupants[n.address] == n
}

// retireBefore ends what is under way at the former starts of an upstream that has
// started again. It holds nothing of before, but an engine that crashed behind a cut
// sends no reset: without this a stream would wait for its patience, 0.6 s or more,
// before it goes on elsewhere. A start that is not stated may be this one, and is
// left alone. The lock must be held.
func (f *fleet) retireBefore(id start) {
	for former, n := range f.nodes {
		if former.name != id.name || former.incarnation >= id.incarnation || former.incarnation <= upstream.Unstated {
			continue
		}
		f.retire(n)
	}
}

// retire takes a node out of use and breaks its connections. The lock must be held.
func (f *fleet) retire(n *node) {
	n.replaced = true
	for c := range n.busy {
		c.close()
	}
	for _, c := range n.idle {
		c.close()
	}
	n.idle = nil
}

// inUse returns the nodes of a service that may get work, by the keys under which
// loads are reported. The lock must be held.
func (f *fleet) inUse(snapshot *upstream.Snapshot, service string) map[loadshare.Key]*node {
	workers, _ := f.workers(snapshot, service)
	nodes := make(map[loadshare.Key]*node, len(workers))
	for _, n := range workers {
		nodes[n.key] = n
	}
	return nodes
}

// sweep drops idle connections that are too old, and nodes that are not listed
// any more. The lock must be held.
func (f *fleet) sweep(now time.Time, snapshot *upstream.Snapshot) {
	if now.Sub(f.swept) < sweepInterval {
		return
	}
	f.swept = now
	listed := make(map[start]bool, len(snapshot.Upstreams))
	for i := range snapshot.Upstreams {
		listed[startOf(&snapshot.Upstreams[i].Announcement)] = true
	}
	for id, n := range f.nodes {
		kept := n.idle[:0]
		for _, c := range n.idle {
			if listed[id] && c.usable(now) {
				kept = append(kept, c)
				continue
			}
			c.close()
		}
		clear(n.idle[len(kept):])
		n.idle = kept
		if !listed[id] && n.load == (loadshare.Load{}) && len(n.reading) == 0 && !n.remembered(now) {
			delete(f.nodes, id)
			delete(f.rates.buckets, n.key)
			if f.occupants[n.address] == n {
				delete(f.occupants, n.address)
			}
		}
	}
}

// changed has the loads reported to the other instances.
func (f *fleet) changed() {
	wake(f.news)
	wake(f.zoneNews)
}

// wake tells whoever waits that there is news.
func wake(news chan<- struct{}) {
	select {
	case news <- struct{}{}:
	default:
	}
}

// loadOf returns what all instances have under way at a node. The lock must be
// held.
func (f *fleet) loadOf(now time.Time, n *node) loadshare.Load {
	load := n.own(now).Add(f.board.Load(now, n.key)).Add(f.zones.Load(now, n.key))
	kept := n.granted[:0]
	for _, g := range n.granted {
		if left, counts := g.loadAt(now); counts {
			kept = append(kept, g)
			load = load.Add(left)
		}
	}
	n.granted = kept
	return load
}

// ownLoads returns what this instance has under way.
func (f *fleet) ownLoads(now time.Time) map[loadshare.Key]loadshare.Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	loads := map[loadshare.Key]loadshare.Load{}
	for _, n := range f.nodes {
		if load := n.own(now); load != (loadshare.Load{}) {
			loads[n.key] = load
		}
	}
	return loads
}

// heard takes in what another instance of the own zone, or another zone, has under way.
func (f *fleet) heard(now time.Time, from netip.AddrPort, r *loadshare.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Zone != 0 {
		f.zones.Accept(now, r)
		return
	}
	f.peers[from] = now
	if f.board.Accept(now, r) && len(r.Loads) > 0 {
		wake(f.zoneNews)
	}
}

// zoneLoads returns what all instances of the own zone have under way.
func (f *fleet) zoneLoads(now time.Time) map[loadshare.Key]loadshare.Load {
	total := f.ownLoads(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, load := range f.board.Loads(now) {
		total[key] = total[key].Add(load)
	}
	return total
}

func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		for _, c := range n.idle {
			c.close()
		}
		n.idle = nil
	}
}
