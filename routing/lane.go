package routing

import (
	"math"
	"sort"

	"celeryport/quota"

	"github.com/cespare/xxhash/v2"
)

// lane orders the nodes of a pool for long prompts. All instances with the same
// view compute the same order (rendezvous hashing), so the lanes of instances
// that measure different loads of long prompts are prefixes of one another.
type lane struct {
	order   []*Node
	keys    map[*Node]uint64
	load    quota.Mix // as fractions of the pool's capacity
	backlog float64   // waiting long prompts, in seconds of one node
	cleared int       // lane nodes kept free of long prompts for waiting spans
	size    int       // length of the prefix of order that forms the lane
	rank    int       // rank of this instance among the live ones
	peers   int       // live instances; 0 if unknown
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

// laneTarget and smallTarget are the utilisations for which the two sides of a
// pool are sized. Long prompts wait for the lane in the instances, so it may be
// nearly full; the other side keeps spare capacity, so that a small prompt
// rarely shares its node.
const (
	laneTarget  = 0.95
	smallTarget = 0.25

	// While the backlog exceeds backlogSeconds of the whole pool, the side for
	// small prompts is sized for overloadTarget: at overload every idle node is
	// a refused prompt.
	overloadTarget = 0.4
	backlogSeconds = 10.0
)

// backlogPerNode is the waiting prefill, in seconds, for which one more node
// joins the lane. The lane grows into idle capacity on a signal that all
// instances share rather than on each instance's own view of idle nodes: that
// view is seconds old, and a long prompt on a node that other instances
// consider free of long prompts slows their small ones.
const backlogPerNode = 8.0

// SizeLane sizes the lane from the measured loads, as fractions of the pool's
// capacity, and from the prompt tokens of long requests that wait on all
// instances. spans is the part of these tokens that has waited for memory for so
// long that nodes are cleared for it.
func (p *Pool) SizeLane(load quota.Mix, waiting, spans int) {
	p.lane.load = load
	p.lane.backlog = float64(waiting) / p.NodeRate()
	p.lane.resize()
	p.lane.clearFor(spans, p.largest)
}

// maxClearedFraction is the maximum fraction of the lane that is cleared for
// spans.
const maxClearedFraction = 0.6

// clearFor keeps long prompts off the first nodes of the lane while spans wait
// for memory. A span needs the memory of whole nodes at the same time;
// otherwise each long prompt would be replaced by the next one, and the span
// would retry until its deadline.
func (l *lane) clearFor(tokens, memory int) {
	l.cleared = 0
	if tokens == 0 || memory == 0 {
		return
	}
	needed := int(math.Ceil(float64(tokens) / (float64(memory) * (1 - spanHeadroom))))
	l.cleared = min(needed, int(maxClearedFraction*float64(l.size)))
}

// LaneSize returns the number of nodes in the long lane.
func (p *Pool) LaneSize() int { return p.lane.size }

func (l *lane) resize() {
	n := len(l.order)
	l.size = l.targetSize(n)
	// Nodes may leave between two measurements. If the lane shrank to the
	// cleared nodes, no node would remain for long prompts.
	l.cleared = min(l.cleared, int(maxClearedFraction*float64(l.size)))
	for i, node := range l.order {
		node.inLane = i < l.size
	}
}

// targetSize returns how many of n nodes the lane should have. Without long
// prompts no lane is needed.
func (l *lane) targetSize(n int) int {
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

// ownNode returns the node outside the lane that this instance prefers for
// small prompts. The instances are spread evenly over these nodes, so most
// requests on an instance's own node are its own and already accounted for:
// reports are too old to show other instances' small prompts, which take a
// tenth of a second.
func (l *lane) ownNode() *Node {
	outside := l.outside()
	if l.peers == 0 || len(outside) == 0 {
		return nil
	}
	return outside[l.rank*len(outside)/l.peers]
}

// inside and outside return the two sides of a pool; available returns the lane
// nodes that accept long prompts.
func (l *lane) inside() []*Node    { return l.order[:l.size] }
func (l *lane) available() []*Node { return l.order[l.cleared:l.size] }
func (l *lane) outside() []*Node   { return l.order[l.size:] }
