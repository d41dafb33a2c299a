package routing

import (
	"math/rand/v2"
	"time"
)

// longCandidates is how many lane nodes are compared for a long prompt. Long
// prompts are few and each occupies its node for seconds, so a closer look
// costs little and a collision costs much.
const longCandidates = 4

// ChooseLong returns a node of the long lane, or one outside it if that has
// next to nothing to do: the lane spills into idle capacity.
func (p *Pool) ChooseLong(now time.Time, random *rand.Rand, a *Ask) (Choice, bool) {
	best, found := p.drawLong(now, random, a, p.lane.order[:p.lane.size])
	if found && best.Wait <= idleWait {
		return best, true
	}
	other, idle := p.drawLong(now, random, a, p.lane.order[p.lane.size:])
	if idle && other.Wait <= idleWait && (!found || other.score < best.score) {
		return other, true
	}
	return best, found
}

// idleWait is the queued prefill up to which a node counts as idle.
const idleWait = 100 * time.Millisecond

func (p *Pool) drawLong(now time.Time, random *rand.Rand, a *Ask, nodes []*Node) (Choice, bool) {
	var best Choice
	if len(nodes) == 0 {
		return best, false
	}
	start := random.IntN(len(nodes))
	drawn := 0
	for i := range min(len(nodes), 2*maxAttempts) {
		n := nodes[(start+i)%len(nodes)]
		if !a.fits(n) {
			continue
		}
		c := a.Consider(now, n)
		if best.Node == nil || c.score < best.score {
			best = c
		}
		drawn++
		if drawn == longCandidates {
			break
		}
	}
	return best, best.Node != nil
}
