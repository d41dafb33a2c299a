package routing

import (
	"sort"
	"time"
)

// spanHeadroom is the part of each node's memory that a span leaves free. The
// short requests that are on their way to the node, sent before the reservation
// shows in its report, find room there instead of waiting for the whole span.
const spanHeadroom = 0.1

// SpanLimit is the largest prompt with its answer that a span over the whole
// pool can hold.
func (p *Pool) SpanLimit() int { return int(float64(p.memory) * (1 - spanHeadroom)) }

// ChooseSpan returns the fewest nodes whose free memory holds the tokens, with
// the part of each, or false. The parts are ordered by name: every instance
// reserves in the same order, so two spans that want the same nodes can't hold
// half of what the other one needs and wait for each other.
func (p *Pool) ChooseSpan(now time.Time, tokens int) ([]Part, Choice, bool) {
	nodes := p.spanNodes(now, tokens)
	if nodes == nil {
		return nil, Choice{}, false
	}
	parts := make([]Part, len(nodes))
	left := tokens
	for i, n := range nodes {
		share := left / (len(nodes) - i)
		share = min(share, spanRoom(n))
		parts[i] = Part{Node: n, Tokens: share}
		left -= share
	}
	for i := 0; left > 0 && i < len(parts); i++ {
		add := min(left, spanRoom(parts[i].Node)-parts[i].Tokens)
		parts[i].Tokens += add
		left -= add
	}
	lead := leadOf(now, parts)
	parts[lead].Lead = true
	a := Ask{Prefill: tokens, Memory: parts[lead].Tokens, Long: true}
	return parts, a.Consider(now, parts[lead].Node), left == 0
}

// leadOf is the part whose node prefills the prompt: the one with the least to
// do in the long lane. A node outside the lane has less to do than any inside,
// but there the prompt would meet the small ones for most of a minute.
func leadOf(now time.Time, parts []Part) int {
	best, least := -1, 0.0
	for i := range parts {
		n := parts[i].Node
		short, long := n.ahead(now)
		work := short + long
		if !n.inLane {
			work += outsidePenalty
		}
		if best < 0 || work < least {
			best, least = i, work
		}
	}
	return best
}

// outsidePenalty is more tokens than ever wait on a node.
const outsidePenalty = 1e9

func byRoom(nodes []*Node) {
	sort.SliceStable(nodes, func(i, j int) bool { return spanRoom(nodes[i]) > spanRoom(nodes[j]) })
}

func spanRoom(n *Node) int {
	if n.denied {
		return 0
	}
	return n.Free() - int(spanHeadroom*float64(n.MemoryTokens))
}

// leastPart is the smallest part of a node's memory that is worth taking.
const leastPart = 0.1

// spanNodes returns the fewest nodes that together have room, ordered by name.
// Nodes early in the order of the lane come first among equals, so that spans
// of all instances look for memory at the same place and leave the rest alone.
func (p *Pool) spanNodes(_ time.Time, tokens int) []*Node {
	nodes := append([]*Node(nil), p.lane.order...)
	inside := min(len(nodes), max(p.lane.size, tokens/max(1, p.largest)+2))
	byRoom(nodes[:inside])
	byRoom(nodes[inside:])
	room := 0
	chosen := nodes[:0]
	for _, n := range nodes {
		free := spanRoom(n)
		if free < int(leastPart*float64(n.MemoryTokens)) {
			continue
		}
		room += free
		chosen = append(chosen, n)
		if room >= tokens {
			sort.Slice(chosen, func(i, j int) bool { return chosen[i].Name < chosen[j].Name })
			return chosen
		}
	}
	return nil
}
