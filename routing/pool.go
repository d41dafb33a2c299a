package routing

import (
	"slices"
	"time"

	"celeryport/outlier"
	"celeryport/upstream"
)

// Pool holds the nodes of one target.
type Pool struct {
	Target string

	all    []*Node // fresh, ordered by name
	active []*Node // nodes of all that receive any request
	probes []*Node // ejected nodes whose probe is due
	ring   ring
	lane   lane

	outliers outliers

	sorted     []float64
	nodeRate   float64
	decodeRate float64
	rate       float64   // sum of the prefill rates of active, each capped at nodeRate
	largest    int       // largest memory of a single node
	memory     int       // total memory of all
	nextProbe  time.Time // when the next ejected node is due for a probe
}

// ejectFraction is the maximum fraction of a pool that may be ejected or await
// a probe at one time. Without this bound a fault outside the upstreams, such as
// a broken network on this instance, would eject the whole pool.
const ejectFraction = 0.34

func newPool(target string, changes *outlierChanges) *Pool {
	return &Pool{Target: target, outliers: outliers{detector: outlier.NewDetector(), changes: changes}}
}

func (p *Pool) clear() { p.all = p.all[:0] }

func (p *Pool) add(n *Node) {
	if n.state == upstream.Fresh {
		p.all = append(p.all, n)
	}
}

func (p *Pool) build(now time.Time) {
	p.active = p.active[:0]
	p.probes = p.probes[:0]
	p.largest, p.memory = 0, 0
	p.nextProbe = time.Time{}
	excluded := p.judge(now)
	canEject, canProbe := p.room(now, excluded)
	for i, n := range p.all {
		p.largest = max(p.largest, n.MemoryTokens)
		p.memory += n.MemoryTokens
		switch v := p.outliers.verdict(i); {
		case v == outlier.Avoid:
		case v == outlier.Probe || v == outlier.LateProbe:
			if !n.Health.Ejected(now) {
				p.outliers.probes = append(p.outliers.probes, probe{node: n, verdict: v})
			}
		case n.Health.Ejected(now) && canEject > 0:
			canEject--
			p.scheduleProbe(n.Health.ejectedUntil)
		case n.Health.ProbeDue(now) && canProbe > 0:
			canProbe--
			p.probes = append(p.probes, n)
		default:
			p.active = append(p.active, n)
		}
	}
	p.measure()
	p.ring.build(p.active)
	p.lane.build(p.Target, p.active)
}

// ejectable returns how many nodes of a pool may be ejected at one time: one of
// two, since the other remains available, and never all.
func ejectable(size int) int {
	if size < 2 {
		return 0
	}
	return max(1, int(ejectFraction*float64(size)))
}

// room returns how many nodes may be ejected, and how many may await a
// probe, beside the excluded ones that fail their calls. Calls that can't be
// probes get nothing but the remaining ones, at least half of the pool.
func (p *Pool) room(now time.Time, excluded int) (ejected, awaiting int) {
	limit := max(0, min(ejectable(len(p.all)), len(p.all)/2-excluded))
	for i, n := range p.all {
		v := p.outliers.verdict(i)
		if (v == outlier.Use || v == outlier.Doubted) && n.Health.Ejected(now) && ejected < limit {
			ejected++
		}
	}
	return ejected, limit - ejected
}

func (p *Pool) scheduleProbe(at time.Time) {
	if p.nextProbe.IsZero() || at.Before(p.nextProbe) {
		p.nextProbe = at
	}
}

// Size returns the number of nodes that receive requests, including those due
// for a probe.
func (p *Pool) Size() int { return len(p.active) + len(p.probes) + len(p.outliers.probes) }

// Excludes reports whether the node of this pool gets no requests at present but for a probe.
func (p *Pool) Excludes(n *Node) bool { return !slices.Contains(p.active, n) }

// Rate returns the total prefill rate in tokens per second. Each node counts
// with at most the median rate.
func (p *Pool) Rate() float64 { return p.rate }

// NodeRate returns the median of the nodes' prefill rates: a slow node or one
// that leads a span is not representative of the others.
func (p *Pool) NodeRate() float64 { return p.nodeRate }

// DecodeRate returns the median decode rate of one stream.
func (p *Pool) DecodeRate() float64 { return p.decodeRate }

// LaneFree returns the fraction of a lane node's prefill rate that short
// prompts leave to long ones.
func (p *Pool) LaneFree() float64 {
	if p.lane.size == 0 {
		return 1
	}
	taken := p.lane.load.Middle * float64(len(p.active)) / float64(p.lane.size)
	return max(minLaneFree, 1-taken)
}

// minLaneFree is the lower bound of LaneFree; it limits how pessimistic
// predictions become.
const minLaneFree = 0.25

// BusyDecodeRate returns the decode rate of one stream on a node whose every
// iteration contains a full chunk of prefill, as on a lane node under load.
func (p *Pool) BusyDecodeRate() float64 { return p.nodeRate / iterationTokens }

func (p *Pool) measure() {
	p.nodeRate, p.decodeRate = defaultPrefillRate, defaultDecodeRate
	p.rate = 0
	if len(p.active) == 0 {
		return
	}
	p.sorted = p.sorted[:0]
	for _, n := range p.active {
		p.sorted = append(p.sorted, n.report.rate)
	}
	slices.Sort(p.sorted)
	p.nodeRate = p.sorted[len(p.sorted)/2]
	for _, rate := range p.sorted {
		p.rate += min(rate, p.nodeRate)
	}
	p.sorted = p.sorted[:0]
	for _, n := range p.active {
		p.sorted = append(p.sorted, n.report.decodeRate)
	}
	slices.Sort(p.sorted)
	p.decodeRate = p.sorted[len(p.sorted)/2]
}

// Largest returns the memory of the largest node.
func (p *Pool) Largest() int { return p.largest }

// Memory returns the total memory of all nodes.
func (p *Pool) Memory() int { return p.memory }

// NextProbe returns when the next ejected node is due for a probe, or the zero
// time.
func (p *Pool) NextProbe() time.Time { return p.nextProbe }

// takeProbe returns one node that is due for a probe. A node receives no second
// request until its probe has ended.
func (p *Pool) takeProbe(r *Requirements) *Node {
	for i, n := range p.probes {
		if n.inFlight == 0 && r.fits(n) && (!r.Once || n.Health.onlySilent() && !n.doubted) {
			p.probes = append(p.probes[:i], p.probes[i+1:]...)
			return n
		}
	}
	return nil
}
