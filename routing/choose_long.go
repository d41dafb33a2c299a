package routing

import (
	"math/rand/v2"
	"time"
)

// longCandidates is the number of lane nodes compared for a long prompt. Long
// prompts are few and each occupies its node for seconds, so comparing more
// nodes is cheap and a collision is expensive.
const longCandidates = 4

// ChooseLong returns a node of the long lane. It uses the whole pool if there
// is no lane, or for an aged request if short prompts crowd the lane.
func (p *Pool) ChooseLong(now time.Time, random *rand.Rand, r *Requirements, aged bool) (Choice, bool) {
	nodes := p.lane.available()
	if r.Overdue {
		nodes = p.lane.inside()
	}
	if p.lane.size == 0 || aged && p.crowded() {
		nodes = p.active
	}
	return drawLong(now, random, r, nodes)
}

func drawLong(now time.Time, random *rand.Rand, r *Requirements, nodes []*Node) (Choice, bool) {
	var best Choice
	if len(nodes) == 0 {
		return best, false
	}
	start := random.IntN(len(nodes))
	drawn := 0
	for i := range min(len(nodes), 2*maxAttempts) {
		n := nodes[(start+i)%len(nodes)]
		if !r.fits(n) {
			continue
		}
		c := r.Predict(now, n)
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

// crowded reports whether short prompts alone fill the lane. In that case an
// aged long prompt gains nothing from the lane and may use any node.
func (p *Pool) crowded() bool {
	return p.lane.load.Small+p.lane.load.Middle > crowdedLoad
}

// crowdedLoad is the load of short prompts above which the lane has no spare
// capacity for long ones.
const crowdedLoad = 0.7
