package routing

import (
	"time"

	"celeryport/upstream"
)

// Table holds the nodes of the last snapshot and, per target, the pool of nodes
// that are eligible for requests.
type Table struct {
	nodes    map[nodeKey]*Node
	pools    map[string]*Pool
	revision uint64
	rank     int
	peers    int
	// staleAt is when the next node turns silent according to the current
	// snapshot.
	staleAt time.Time
	changes outlierChanges
}

type nodeKey struct {
	name        string
	incarnation uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{nodes: map[nodeKey]*Node{}, pools: map[string]*Pool{}}
}

// Observe installs a snapshot. Its cost is proportional to the number of
// upstreams and is paid once per snapshot, so that the cost of a request does
// not depend on the size of the fleet.
func (t *Table) Observe(now time.Time, view *upstream.Snapshot) {
	t.revision++
	for _, p := range t.pools {
		p.clear()
	}
	for i := range view.Upstreams {
		u := &view.Upstreams[i]
		n := t.node(u)
		n.observe(u)
		n.revision = t.revision
		for _, target := range n.targets {
			t.pool(target).add(n)
		}
	}
	t.removeGone()
	t.staleAt = t.nextStale()
	t.Rebuild(now)
}

// Rebuild recomputes the pools, for example after a node was ejected.
func (t *Table) Rebuild(now time.Time) {
	for _, n := range t.nodes {
		n.doubted = false
	}
	for _, p := range t.pools {
		p.build(now)
	}
}

// SetPeers sets the rank of this instance among the live instances. Until it is
// set, small prompts are distributed at random.
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

// InFlight returns the number of this instance's sends on all nodes.
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
		p = newPool(target, &t.changes)
		p.lane.rank, p.lane.peers = t.rank, t.peers
		t.pools[target] = p
	}
	return p
}

func (t *Table) node(u *upstream.Upstream) *Node {
	key := nodeKey{u.Announcement.Name, u.Announcement.Incarnation}
	n := t.nodes[key]
	if n == nil {
		n = &Node{Name: key.name, Incarnation: key.incarnation, key: outlierKey(key)}
		t.nodes[key] = n
	}
	return n
}

// removeGone removes nodes that are no longer in the snapshot and have nothing in
// flight.
func (t *Table) removeGone() {
	for key, n := range t.nodes {
		if n.revision == t.revision {
			continue
		}
		n.state = upstream.Silent
		if n.inFlight == 0 {
			delete(t.nodes, key)
		}
	}
}
