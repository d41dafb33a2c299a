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
	best, found := p.draw(now, random, a, p.open)
	if a.PrefixHash != 0 {
		best, found = p.preferHome(now, a, best, found)
	}
	return best, found
}

func (p *Pool) draw(now time.Time, random *rand.Rand, a *Ask, nodes []*Node) (Choice, bool) {
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
		if drawn == candidates {
			break
		}
	}
	return best, best.Node != nil
}

// preferHome takes the home of the prefix unless it is loaded more than the
// prefix is worth.
func (p *Pool) preferHome(now time.Time, a *Ask, best Choice, found bool) (Choice, bool) {
	n := p.ring.home(a.PrefixHash)
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
