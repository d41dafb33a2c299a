package routing

import "time"

// Requirements describes what a request needs from an upstream.
type Requirements struct {
	Prefill      int // prompt tokens
	Memory       int
	PrefixHash   uint64
	PrefixTokens int
	Long         bool
	Overdue      bool  // large and waiting for long; may use cleared nodes
	Once         bool  // may run at most once, so it probes only upstreams that were merely silent
	Wary         bool  // not sent to doubted upstreams
	InFlight     int   // limit of calls in flight on one plain service; 0 means none
	Avoid        *Node // node on which the last attempt failed
}

// Choice is a candidate node for a request, with predicted times.
type Choice struct {
	Node    *Node
	Cached  int           // prompt tokens expected in its cache
	Wait    time.Duration // until the prefill begins
	Prefill time.Duration // of the uncached part of the prompt
	score   float64
}

// FirstToken returns the predicted time to the first token.
func (c *Choice) FirstToken() time.Duration { return c.Wait + c.Prefill }

// avoidPenalty, in seconds, keeps a retry away from the node that failed it,
// unless the pool has no other node.
const avoidPenalty = 10

// Predict predicts how the node would serve the request.
func (r *Requirements) Predict(now time.Time, n *Node) Choice {
	short, long := n.queuedPrefill(now)
	c := Choice{Node: n, Cached: r.cached(n)}
	own := float64(r.Prefill - c.Cached)
	wait := short
	if r.Long {
		wait += long
	} else {
		wait += interference(n, long)
	}
	c.Wait = seconds(wait / n.report.rate)
	c.Prefill = seconds(own / n.report.rate)
	c.score = (wait + own) / n.report.rate / n.weight(now)
	if n == r.Avoid {
		c.score += avoidPenalty
	}
	return c
}

// longHeadroom is the fraction of a node's memory that a long prompt leaves to
// short ones. A short prompt that finds the memory full waits until a long
// answer ends, seconds later, whatever its priority. A prompt that needs the
// headroom itself gets it when the node is empty.
const longHeadroom = 0.15

// interference returns the tokens by which long prompts on the node delay a
// short one: the current iteration, and a share of the next ones. A lane node
// counts as busy with a long prompt even if its last report, seconds old, says
// otherwise: another instance may have filled it since, and all short prompts
// sent there would be delayed at the same time.
func interference(n *Node, long float64) float64 {
	if n.inLane {
		return iterationTokens
	}
	return min(long, iterationTokens)
}

func (r *Requirements) cached(n *Node) int {
	if r.PrefixHash == 0 {
		return 0
	}
	return min(n.prefixes.Tokens(r.PrefixHash), r.PrefixTokens, r.Prefill-1)
}

// fits reports whether the node has room for the request now.
func (r *Requirements) fits(n *Node) bool {
	if r.Wary && n.doubted {
		return false
	}
	if r.InFlight > 0 && n.running() >= r.InFlight || n.Slots > 0 && n.running() >= n.Slots {
		return false
	}
	if n.MemoryTokens == 0 {
		return true
	}
	room := n.Free()
	if r.Long {
		room -= min(int(longHeadroom*float64(n.MemoryTokens)), n.MemoryTokens-r.Memory)
	}
	return r.Memory <= room
}
