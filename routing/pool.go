package routing

import (
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

	rate    float64   // sum of the prefill rates of open
	largest int       // most memory of one node of all
	memory  int       // sum of the memory of all
	next    time.Time // when the next ejected node is due for a probe
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
	p.rate, p.largest, p.memory = 0, 0, 0
	p.next = time.Time{}
	canEject := int(ejectFraction * float64(len(p.all)))
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
		p.rate += n.Rate()
	}
	p.ring.build(p.open)
	p.lane.build(p.Target, p.open)
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

// MeanRate is the mean prefill rate of one node.
func (p *Pool) MeanRate() float64 {
	if len(p.open) == 0 {
		return defaultPrefillRate
	}
	return p.rate / float64(len(p.open))
}

// DecodeRate is the rate of one stream on the first node.
func (p *Pool) DecodeRate() float64 {
	if len(p.open) == 0 {
		return defaultDecodeRate
	}
	return p.open[0].DecodeRate()
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
