package routing

import (
	"math/rand/v2"
	"time"
)

// candidates is the number of random nodes that are compared. Two suffice to
// prevent herding (power of two choices); maxAttempts bounds the search for two
// nodes with room.
const (
	candidates  = 2
	maxAttempts = 8
)

// affinitySlack is the fraction of a prefix's prefill time by which the
// prefix's home node may be slower and still be preferred.
const affinitySlack = 0.5

// Choose returns a node for the request. Candidates are drawn at random, so
// that instances with the same reports do not all pick the node that looks
// best.
func (p *Pool) Choose(now time.Time, random *rand.Rand, r *Requirements) (Choice, bool) {
	mine, other, crossing := p.lane.outside(), p.lane.inside(), crossingIn
	if !Small(r.Prefill) {
		mine, other, crossing = other, mine, crossingOut
	}
	best, found := p.draw(now, random, r, mine, candidates)
	if Small(r.Prefill) {
		best, found = p.preferOwnNode(now, r, best, found)
	}
	second, some := p.draw(now, random, r, other, 1)
	if some && (!found || second.score+crossing < best.score) {
		best, found = second, true
	}
	if r.PrefixHash != 0 {
		best, found = p.preferHome(now, r, best, found)
	}
	return best, found
}

// smallPrompt is the length of the longest prompt that prefers nodes without
// long prompts. Longer prompts of the short classes lose little beside a long
// prompt, because they take several iterations anyway, but would themselves
// delay small ones.
const smallPrompt = 2 * iterationTokens

// Small reports whether a prompt of this length prefers nodes without long
// prompts.
func Small(tokens int) bool { return tokens <= smallPrompt }

// crossingIn is the time, in seconds, by which a lane node must look better for
// a small prompt to use it; crossingOut is the equivalent for a node outside
// the lane and a prompt that prefers the lane.
const (
	crossingIn  = 0.05
	crossingOut = 0.3
)

func (p *Pool) draw(now time.Time, random *rand.Rand, r *Requirements, nodes []*Node, wanted int) (Choice, bool) {
	var best Choice
	if len(nodes) == 0 {
		return best, false
	}
	drawn := 0
	attempts := min(maxAttempts, 2*len(nodes))
	for range attempts {
		n := nodes[random.IntN(len(nodes))]
		if n == best.Node || !r.fits(n) {
			continue
		}
		c := r.Predict(now, n)
		if best.Node == nil || c.score < best.score {
			best = c
		}
		drawn++
		if drawn == wanted {
			break
		}
	}
	return best, best.Node != nil
}

// ownSlack is the time, in seconds, by which another node must look better than
// this instance's own node to be preferred over it.
const ownSlack = 0.02

// preferOwnNode returns this instance's own node unless the other candidate looks
// better.
func (p *Pool) preferOwnNode(now time.Time, r *Requirements, best Choice, found bool) (Choice, bool) {
	n := p.lane.ownNode()
	if n == nil || n == best.Node || !r.fits(n) {
		return best, found
	}
	own := r.Predict(now, n)
	if !found || own.score <= best.score+ownSlack {
		return own, true
	}
	return best, found
}

// preferHome returns the home node of the prefix unless its additional load
// exceeds the time saved by a cached prefix.
func (p *Pool) preferHome(now time.Time, r *Requirements, best Choice, found bool) (Choice, bool) {
	n := p.ring.home(r.PrefixHash, !Small(r.Prefill) && p.lane.size > 0)
	if n == nil || n == best.Node || !r.fits(n) {
		return best, found
	}
	home := r.Predict(now, n)
	worth := affinitySlack * float64(r.PrefixTokens-home.Cached) / n.Rate()
	if !found || home.score <= best.score+worth {
		return home, true
	}
	return best, found
}

// Probe returns an ejected node that is due for a probe with the request.
func (p *Pool) Probe(now time.Time, r *Requirements) (Choice, bool) {
	n := p.takeEjected(now, r)
	if n == nil {
		n = p.takeProbe(r)
	}
	if n == nil {
		return Choice{}, false
	}
	return r.Predict(now, n), true
}
