package routing

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// ringPoints is the number of points per node on the ring; more points
// distribute the prefixes more evenly.
const ringPoints = 16

// ring is a consistent hash ring. A prefix has the same home node on every
// instance with the same view, and a node that joins or leaves moves only its
// own prefixes.
type ring struct {
	points []ringPoint
	names  []string // names of the nodes that the ring was built from
}

type ringPoint struct {
	hash uint64
	node *Node
}

// build rebuilds the ring if the nodes changed.
func (r *ring) build(nodes []*Node) {
	if r.matches(nodes) {
		return
	}
	r.points = r.points[:0]
	r.names = r.names[:0]
	for _, n := range nodes {
		r.names = append(r.names, n.Name)
		h := xxhash.Sum64String(n.Name)
		for i := range ringPoints {
			r.points = append(r.points, ringPoint{mix(h + uint64(i)), n})
		}
	}
	sort.Slice(r.points, func(i, j int) bool { return r.points[i].hash < r.points[j].hash })
}

func (r *ring) matches(nodes []*Node) bool {
	if len(nodes) != len(r.names) {
		return false
	}
	for i, n := range nodes {
		if r.names[i] != n.Name || r.points == nil {
			return false
		}
	}
	// A restarted upstream keeps its name but is a different node.
	for _, p := range r.points {
		if p.node.revision != nodes[0].revision {
			return false
		}
	}
	return true
}

// maxHomeSteps bounds the search for a home node on the wanted side of the lane.
const maxHomeSteps = 4 * ringPoints

// home returns the home node of a prefix: the first node on the ring that is
// inside the long lane if inLane is set, or outside it otherwise. A lane that
// grows by one node moves only the prefixes of that node.
func (r *ring) home(hash uint64, inLane bool) *Node {
	if len(r.points) == 0 {
		return nil
	}
	key := mix(hash)
	low, high := 0, len(r.points)
	for low < high {
		middle := int(uint(low+high) >> 1)
		if r.points[middle].hash < key {
			low = middle + 1
		} else {
			high = middle
		}
	}
	for i := range min(maxHomeSteps, len(r.points)) {
		if n := r.points[(low+i)%len(r.points)].node; n.inLane == inLane {
			return n
		}
	}
	return nil
}

// mix is the finaliser of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
