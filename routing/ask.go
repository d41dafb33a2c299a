package routing

import "time"

// Ask is what a request needs of an upstream.
type Ask struct {
	Prefill      int // prompt tokens
	Memory       int
	PrefixHash   uint64
	PrefixTokens int
	Long         bool
	Overdue      bool  // large, and may use the nodes that were cleared
	InFlight     int   // most calls on one plain service, 0: no limit
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

// avoidPenalty, in seconds, keeps a retry away from the node that failed it, but
// for a pool without another one.
const avoidPenalty = 10

// Consider predicts how the node would serve the request.
func (a *Ask) Consider(now time.Time, n *Node) Choice {
	short, long := n.ahead(now)
	c := Choice{Node: n, Cached: a.cached(n)}
	own := float64(a.Prefill - c.Cached)
	wait := short
	if a.Long {
		wait += long
	} else {
		wait += interference(n, long)
	}
	c.Wait = seconds(wait / n.report.rate)
	c.Prefill = seconds(own / n.report.rate)
	c.score = (wait + own) / n.report.rate / n.Health.weight()
	if n == a.Avoid {
		c.score += avoidPenalty
	}
	return c
}

// longHeadroom is the part of a node's memory that a long prompt leaves to short
// ones. A short prompt that finds the memory full waits until a long answer ends,
// seconds later, whatever its priority is. A prompt that needs the headroom
// itself gets it when the node is empty.
const longHeadroom = 0.15

// interference is what long prompts on the node cost a short one: the iteration
// under way, and a share in the next ones. A node of the lane counts as busy
// with one even if its last report, seconds old, says otherwise: another
// instance has filled it since, and the short prompts would all find that out
// at the same time.
func interference(n *Node, long float64) float64 {
	if n.inLane {
		return iterationTokens
	}
	return min(long, iterationTokens)
}

func (a *Ask) cached(n *Node) int {
	if a.PrefixHash == 0 {
		return 0
	}
	return min(n.prefixes.Tokens(a.PrefixHash), a.PrefixTokens, a.Prefill-1)
}

// fits says whether the node can take the request now.
func (a *Ask) fits(n *Node) bool {
	if a.InFlight > 0 && n.running() >= a.InFlight || n.Slots > 0 && n.running() >= n.Slots {
		return false
	}
	if n.MemoryTokens == 0 {
		return true
	}
	room := n.Free()
	if a.Long {
		room -= min(int(longHeadroom*float64(n.MemoryTokens)), n.MemoryTokens-a.Memory)
	}
	return a.Memory <= room
}
