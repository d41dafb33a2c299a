package routing

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// lane orders the nodes of a pool for long prompts. Every instance with the same
// view has the same order (rendezvous hashing), so the lanes of instances that
// measure different shares of long tokens are prefixes of one another.
type lane struct {
	order []*Node
	keys  map[*Node]uint64
	share float64 // of the tokens that are of long prompts
	size  int     // nodes of order that form the lane
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

// SetLongShare sizes the lane by the measured share of long tokens.
func (p *Pool) SetLongShare(share float64) {
	p.lane.share = share
	p.lane.resize()
}

// LaneSize is the number of nodes in the long lane.
func (p *Pool) LaneSize() int { return p.lane.size }

func (l *lane) resize() {
	n := len(l.order)
	size := int(math.Ceil(l.share * float64(n)))
	l.size = min(max(size, min(1, n)), n)
}
