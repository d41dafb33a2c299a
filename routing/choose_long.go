package routing

import (
	"math/rand/v2"
	"time"
)

// longCandidates is how many lane nodes are compared for a long prompt. Long
// prompts are few and each occupies its node for seconds, so a closer look
// costs little and a collision costs much.
const longCandidates = 4

// ChooseLong returns a node of the long lane, or of the whole pool while there
// is no lane, or for an aged request.
func (p *Pool) ChooseLong(now time.Time, random *rand.Rand, a *Ask, aged bool) (Choice, bool) {
	nodes := p.lane.open()
	if a.Overdue {
		nodes = p.lane.inside()
	}
	if p.lane.size == 0 || aged && p.crowded() {
		nodes = p.open
	}
	return drawLong(now, random, a, nodes)
}

func drawLong(now time.Time, random *rand.Rand, a *Ask, nodes []*Node) (Choice, bool) {
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

// crowded says that short prompts alone fill the lane: then an aged long prompt
// has as little chance there as anywhere, and may go to any node.
func (p *Pool) crowded() bool {
	return p.lane.load.Small+p.lane.load.Middle > crowdedLoad
}

// crowdedLoad is the load of short prompts from which the lane gives long ones no
// room of their own.
const crowdedLoad = 0.7
