package routing

import (
	"math/rand/v2"
	"time"
)

// candidates is how many random nodes are compared. Two suffice against herds
// (power of two choices); the attempts bound the search for two that fit.
const (
	candidates  = 2
	maxAttempts = 8
)

// affinitySlack is the part of the prefill of a prefix that a node may be slower
// by and still be preferred as the home of the prefix.
const affinitySlack = 0.5

// Choose returns a node for the request. The nodes are drawn at random, so that
// instances which saw the same report don't all run to the node that looks best.
func (p *Pool) Choose(now time.Time, random *rand.Rand, a *Ask) (Choice, bool) {
	mine, other, crossing := p.lane.outside(), p.lane.inside(), crossingIn
	if !Small(a.Prefill) {
		mine, other, crossing = other, mine, crossingOut
	}
	best, found := p.draw(now, random, a, mine, candidates)
	if Small(a.Prefill) {
		best, found = p.preferOwn(now, a, best, found)
	}
	second, some := p.draw(now, random, a, other, 1)
	if some && (!found || second.score+crossing < best.score) {
		best, found = second, true
	}
	if a.PrefixHash != 0 {
		best, found = p.preferHome(now, a, best, found)
	}
	return best, found
}

// smallPrompt is the longest prompt that prefers the nodes without long
// prompts. Longer ones of the short classes lose little beside a long prompt,
// for they take several iterations anyway, but would themselves hold up small
// ones.
const smallPrompt = 2 * iterationTokens

// Small says whether a prompt prefers the nodes without long prompts.
func Small(tokens int) bool { return tokens <= smallPrompt }

// The time, in seconds, by which the other side of the lane must look better for
// a small prompt to go in, and for one that prefers the lane to come out.
const (
	crossingIn  = 0.05
	crossingOut = 0.3
)

func (p *Pool) draw(now time.Time, random *rand.Rand, a *Ask, nodes []*Node, wanted int) (Choice, bool) {
	var best Choice
	if len(nodes) == 0 {
		return best, false
	}
	drawn := 0
	attempts := min(maxAttempts, 2*len(nodes))
	for range attempts {
		n := nodes[random.IntN(len(nodes))]
		if n == best.Node || !a.fits(n) {
			continue
		}
		c := a.Consider(now, n)
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
// the own one.
const ownSlack = 0.02

// preferOwn takes this instance's own node unless the other one looks better.
func (p *Pool) preferOwn(now time.Time, a *Ask, best Choice, found bool) (Choice, bool) {
	n := p.lane.own()
	if n == nil || n == best.Node || !a.fits(n) {
		return best, found
	}
	own := a.Consider(now, n)
	if !found || own.score <= best.score+ownSlack {
		return own, true
	}
	return best, found
}

// preferHome takes the home of the prefix unless it is loaded more than the
// prefix is worth.
func (p *Pool) preferHome(now time.Time, a *Ask, best Choice, found bool) (Choice, bool) {
	n := p.ring.home(a.PrefixHash, !Small(a.Prefill) && p.lane.size > 0)
	if n == nil || n == best.Node || !a.fits(n) {
		return best, found
	}
	home := a.Consider(now, n)
	worth := affinitySlack * float64(a.PrefixTokens-home.Cached) / n.Rate()
	if !found || home.score <= best.score+worth {
		return home, true
	}
	return best, found
}

// Probe returns an ejected node that is due to prove itself with the request.
func (p *Pool) Probe(now time.Time, a *Ask) (Choice, bool) {
	n := p.takeProbe(a)
	if n == nil {
		return Choice{}, false
	}
	return a.Consider(now, n), true
}
