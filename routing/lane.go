package routing

import (
	"math"
	"sort"

	"celeryport/quota"

	"github.com/cespare/xxhash/v2"
)

// lane orders the nodes of a pool for long prompts. Every instance with the same
// view has the same order (rendezvous hashing), so the lanes of instances that
// measure different shares of long tokens are prefixes of one another.
type lane struct {
	order   []*Node
	keys    map[*Node]uint64
	load    quota.Mix // as parts of the pool's capacity
	backlog float64   // long prompts that wait, in seconds of one node
	cleared int       // nodes of the lane that take no long prompts, for waiting spans
	size    int       // nodes of order that form the lane
	rank    int       // of this instance among the live ones
	peers   int       // live instances, 0: unknown
}

func (l *lane) build(target string, nodes []*Node) {
	if l.keys == nil {
		l.keys = map[*Node]uint64{}
	}
	clear(l.keys)
	l.order = append(l.order[:0], nodes...)
	salt := xxhash.Sum64String(target)
	for _, n := range nodes {
		l.keys[n] = mix(xxhash.Sum64String(n.Name) ^ salt)
	}
	sort.Slice(l.order, func(i, j int) bool { return l.keys[l.order[i]] < l.keys[l.order[j]] })
	l.resize()
}

// The utilisations that the two sides of a pool are sized for. Long prompts wait
// for the lane in the instances, so it may be nearly full; the other side keeps
// room, because a small prompt should meet nobody there.
const (
	laneTarget  = 0.95
	smallTarget = 0.25

	// While more waits than backlogSeconds of the whole pool, small prompts give
	// up some of their room: at overload every idle node is a refused prompt.
	overloadTarget = 0.4
	backlogSeconds = 10.0
)

// backlogPerNode is how many seconds of waiting prefill bring one more node into
// the lane. The lane spills into idle capacity in this way, by a signal that all
// instances share, and not by each one's own look at idle nodes: those looks
// are seconds old, and a long prompt on a node that the others hold for free of
// long ones slows their small prompts.
const backlogPerNode = 8.0

// SizeLane sizes the lane by measured loads, as parts of the pool's capacity,
// and by the long tokens that wait on all instances.
func (p *Pool) SizeLane(load quota.Mix, waiting, spans int) {
	p.lane.load = load
	p.lane.backlog = float64(waiting) / p.NodeRate()
	p.lane.resize()
	p.lane.clearFor(spans, p.largest)
}

// clearedPart is the largest part of the lane that is cleared for spans.
const clearedPart = 0.6

// clearFor keeps long prompts away from the first nodes of the lane while spans
// wait for memory. Spans need the memory of whole nodes at one time, and without
// this the next long prompt always takes what the last one left: the span would
// try and fail until its deadline.
func (l *lane) clearFor(tokens, memory int) {
	l.cleared = 0
	if tokens == 0 || memory == 0 {
		return
	}
	needed := int(math.Ceil(float64(tokens) / (float64(memory) * (1 - spanHeadroom))))
	l.cleared = min(needed, int(clearedPart*float64(l.size)))
}

// LaneSize is the number of nodes in the long lane.
func (p *Pool) LaneSize() int { return p.lane.size }

func (l *lane) resize() {
	n := len(l.order)
	l.size = l.wanted(n)
	// Nodes may go between two measurements; a lane that has shrunk below what
	// was cleared would leave long prompts nowhere to go.
	l.cleared = min(l.cleared, int(clearedPart*float64(l.size)))
	for i, node := range l.order {
		node.inLane = i < l.size
	}
}

// wanted is the number of n nodes that the lane should have. Without long
// prompts there is nothing to keep apart.
func (l *lane) wanted(n int) int {
	if l.load.Long < minLongLoad && l.backlog == 0 {
		return 0
	}
	load := l.load.Long + l.load.Middle
	size := int(math.Ceil(load/laneTarget*float64(n)) + l.backlog/backlogPerNode)
	target := smallTarget
	if l.backlog > backlogSeconds*float64(n) {
		target = overloadTarget
	}
	kept := int(math.Ceil(l.load.Small / target * float64(n)))
	return min(max(size, 1), max(n-kept, 1), n)
}

// minLongLoad is the load of long prompts below which there is no lane.
const minLongLoad = 0.01

// own is the node outside the lane that this instance prefers for small prompts.
// The instances are spread evenly over these nodes, so that one which gets to
// its node meets mostly requests that it knows of, its own: reports are too old
// to tell of the others' small prompts, which take a tenth of a second.
func (l *lane) own() *Node {
	outside := l.outside()
	if l.peers == 0 || len(outside) == 0 {
		return nil
	}
	return outside[l.rank*len(outside)/l.peers]
}

// inside and outside are the two sides of a pool; open is what long prompts may
// use of the inside.
func (l *lane) inside() []*Node  { return l.order[:l.size] }
func (l *lane) open() []*Node    { return l.order[l.cleared:l.size] }
func (l *lane) outside() []*Node { return l.order[l.size:] }
