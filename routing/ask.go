package routing

import "time"

// Ask is what a request needs of an upstream.
type Ask struct {
	Prefill      int // prompt tokens
	Memory       int
	PrefixHash   uint64
	PrefixTokens int
	Long         bool
	InFlight     int   // most own calls on one plain service, 0: no limit
	Avoid        *Node // the node that failed the last attempt
}

// Choice is an upstream for a request.
type Choice struct {
	Node    *Node
	Cached  int           // prompt tokens that its cache is expected to hold
	Wait    time.Duration // until its prefill begins
	Prefill time.Duration // of the rest of the prompt
	score   float64
}

// FirstToken is the predicted time to the first token.
func (c *Choice) FirstToken() time.Duration { return c.Wait + c.Prefill }

// Consider predicts how the node would serve the request.
func (a *Ask) Consider(now time.Time, n *Node) Choice {
	short, long := n.ahead(now)
	c := Choice{Node: n, Cached: a.cached(n)}
	own := float64(a.Prefill - c.Cached)
	wait := short
	if a.Long {
		wait += long
	} else {
		wait += min(long, iterationTokens)
	}
	c.Wait = seconds(wait / n.report.rate)
	c.Prefill = seconds(own / n.report.rate)
	c.score = (wait + own) / n.report.rate / n.Health.weight()
	return c
}

func (a *Ask) cached(n *Node) int {
	if a.PrefixHash == 0 {
		return 0
	}
	return min(n.prefixes.Tokens(a.PrefixHash), a.PrefixTokens, a.Prefill-1)
}

// fits says whether the node can take the request now.
func (a *Ask) fits(n *Node) bool {
	if n == a.Avoid {
		return false
	}
	if a.InFlight > 0 && n.inFlight >= a.InFlight || n.Slots > 0 && n.inFlight >= n.Slots {
		return false
	}
	return n.MemoryTokens == 0 || a.Memory <= n.Free()
}
