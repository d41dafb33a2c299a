package routing

import (
	"time"

	"celeryport/upstream"
)

// Table holds the nodes of the last view and the pools of those that may get
// work, one for each target.
type Table struct {
	nodes map[nodeKey]*Node
	pools map[string]*Pool
	seen  uint64
	rank  int
	peers int
	// staleAt is when the next node turns silent by the present view.
	staleAt time.Time
}

type nodeKey struct {
	name        string
	incarnation uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{nodes: map[nodeKey]*Node{}, pools: map[string]*Pool{}}
}

// Observe installs a view. The work is proportional to the number of upstreams
// and is done once a view, so that a request costs the same in any fleet.
func (t *Table) Observe(now time.Time, view *upstream.Snapshot) {
	t.seen++
	for _, p := range t.pools {
		p.clear()
	}
	for i := range view.Upstreams {
		u := &view.Upstreams[i]
		n := t.node(u)
		n.observe(u)
		n.seen = t.seen
		for _, target := range n.targets {
			t.pool(target).add(n)
		}
	}
	t.forget()
	t.staleAt = t.nextStale()
	t.Rebuild(now)
}

// Rebuild sorts the pools again after a node was ejected.
func (t *Table) Rebuild(now time.Time) {
	for _, p := range t.pools {
		p.build(now)
	}
}

// SetPeers says which of the live instances this one is. Without it small prompts
// are spread at random.
func (t *Table) SetPeers(rank, peers int) {
	if t.rank == rank && t.peers == peers || rank >= peers {
		return
	}
	t.rank, t.peers = rank, peers
	for _, p := range t.pools {
		p.lane.rank, p.lane.peers = rank, peers
	}
}

// Pool returns the nodes that serve a target, or nil.
func (t *Table) Pool(target string) *Pool { return t.pools[target] }

// InFlight is the number of own sends on all nodes.
func (t *Table) InFlight() int {
	total := 0
	for _, n := range t.nodes {
		total += n.inFlight
	}
	return total
}

func (t *Table) pool(target string) *Pool {
	p := t.pools[target]
	if p == nil {
		p = newPool(target)
		p.lane.rank, p.lane.peers = t.rank, t.peers
		t.pools[target] = p
	}
	return p
}

func (t *Table) node(u *upstream.Upstream) *Node {
	key := nodeKey{u.Announcement.Name, u.Announcement.Incarnation}
	n := t.nodes[key]
	if n == nil {
		n = &Node{Name: key.name, Incarnation: key.incarnation}
		t.nodes[key] = n
	}
	return n
}

// forget drops nodes that are gone and have nothing in flight.
func (t *Table) forget() {
	for key, n := range t.nodes {
		if n.seen == t.seen {
			continue
		}
		n.state = upstream.Silent
		if n.inFlight == 0 {
			delete(t.nodes, key)
		}
	}
}
