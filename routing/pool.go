package routing

import (
	"slices"
	"time"

	"celeryport/upstream"
)

// Pool holds the nodes of one target.
type Pool struct {
	Target string

	all    []*Node // fresh, ordered by name
	open   []*Node // of these, those that get work: not ejected
	probes []*Node // ejected ones whose probe is due
	ring   ring
	lane   lane

	sorted     []float64
	nodeRate   float64
	decodeRate float64
	rate       float64   // sum of the prefill rates of open
	largest    int       // most memory of one node of all
	memory     int       // sum of the memory of all
	next       time.Time // when the next ejected node is due for a probe
}

// ejectFraction is the part of a pool that may be ejected at one time. Without
// the floor a fault that is not the upstreams' own, such as a broken network on
// this instance, would empty the service.
const ejectFraction = 0.34

func newPool(target string) *Pool { return &Pool{Target: target} }

func (p *Pool) clear() { p.all = p.all[:0] }

func (p *Pool) add(n *Node) {
	if n.state == upstream.Fresh {
		p.all = append(p.all, n)
	}
}

func (p *Pool) build(now time.Time) {
	p.open = p.open[:0]
	p.probes = p.probes[:0]
	p.largest, p.memory = 0, 0
	p.next = time.Time{}
	canEject := ejectable(len(p.all))
	for _, n := range p.all {
		p.largest = max(p.largest, n.MemoryTokens)
		p.memory += n.MemoryTokens
		if n.Health.Ejected(now) && canEject > 0 {
			canEject--
			p.due(n.Health.until)
			continue
		}
		if n.Health.ProbeDue(now) {
			p.probes = append(p.probes, n)
			continue
		}
		p.open = append(p.open, n)
	}
	p.measure()
	p.ring.build(p.open)
	p.lane.build(p.Target, p.open)
}

// ejectable is how many of a pool may be ejected at one time: of two one, since
// the other can carry on, and never all.
func ejectable(size int) int {
	if size < 2 {
		return 0
	}
	return max(1, int(ejectFraction*float64(size)))
}

func (p *Pool) due(at time.Time) {
	if p.next.IsZero() || at.Before(p.next) {
		p.next = at
	}
}

// Size is the number of nodes that get work.
func (p *Pool) Size() int { return len(p.open) + len(p.probes) }

// Rate is the sum of the measured prefill rates, tokens a second.
func (p *Pool) Rate() float64 { return p.rate }

// NodeRate is the median of the nodes' prefill rates: neither a slow node nor
// one that leads a span tells what the others do.
func (p *Pool) NodeRate() float64 { return p.nodeRate }

// DecodeRate is the median rate of one stream.
func (p *Pool) DecodeRate() float64 { return p.decodeRate }

// LaneFree is the part of a lane node's prefill that short prompts leave to long
// ones.
func (p *Pool) LaneFree() float64 {
	if p.lane.size == 0 {
		return 1
	}
	taken := p.lane.load.Middle * float64(len(p.open)) / float64(p.lane.size)
	return max(minLaneFree, 1-taken)
}

// minLaneFree bounds how pessimistic the prediction gets.
const minLaneFree = 0.25

// BusyDecodeRate is the rate of one stream on a node whose every iteration
// carries a full chunk of prefill, as on a lane node under load.
func (p *Pool) BusyDecodeRate() float64 { return p.nodeRate / iterationTokens }

func (p *Pool) measure() {
	p.nodeRate, p.decodeRate = defaultPrefillRate, defaultDecodeRate
	p.rate = 0
	if len(p.open) == 0 {
		return
	}
	p.sorted = p.sorted[:0]
	for _, n := range p.open {
		p.sorted = append(p.sorted, n.report.rate)
	}
	slices.Sort(p.sorted)
	p.nodeRate = p.sorted[len(p.sorted)/2]
	for _, rate := range p.sorted {
		p.rate += min(rate, p.nodeRate)
	}
	p.sorted = p.sorted[:0]
	for _, n := range p.open {
		p.sorted = append(p.sorted, n.report.decodeRate)
	}
	slices.Sort(p.sorted)
	p.decodeRate = p.sorted[len(p.sorted)/2]
}

// Largest is the most memory that one node has.
func (p *Pool) Largest() int { return p.largest }

// Memory is the memory of all nodes together.
func (p *Pool) Memory() int { return p.memory }

// NextProbe is when an ejected node becomes due, or the zero time.
func (p *Pool) NextProbe() time.Time { return p.next }

// takeProbe hands out one node that is due for a probe. It gets no second
// request until the first has ended.
func (p *Pool) takeProbe(a *Ask) *Node {
	for i, n := range p.probes {
		if n.inFlight == 0 && a.fits(n) {
			p.probes = append(p.probes[:i], p.probes[i+1:]...)
			return n
		}
	}
	return nil
}
