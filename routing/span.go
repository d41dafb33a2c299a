package routing

import (
	"sort"
	"time"
)

// spanHeadroom is the fraction of each node's memory that a span leaves free.
// Short requests that were sent to the node before the reservation shows in its
// report use it instead of waiting for the whole span.
const spanHeadroom = 0.1

// SpanLimit returns the size, in tokens, of the largest prompt and answer that
// a span over the whole pool can hold.
func (p *Pool) SpanLimit() int { return int(float64(p.memory) * (1 - spanHeadroom)) }

// ChooseSpan returns the smallest set of nodes whose free memory holds the
// tokens, with the part of each; it returns false if there is none. The parts
// are ordered by name: every instance reserves in the same order, so two spans
// on the same nodes cannot deadlock, each holding memory that the other one
// needs.
func (p *Pool) ChooseSpan(now time.Time, tokens int) ([]Part, Choice, bool) {
	nodes := p.spanNodes(now, tokens)
	if nodes == nil {
		return nil, Choice{}, false
	}
	parts := make([]Part, len(nodes))
	left := tokens
	for i, n := range nodes {
		share := left / (len(nodes) - i)
		share = min(share, freeForSpan(n))
		parts[i] = Part{Node: n, Tokens: share}
		left -= share
	}
	for i := 0; left > 0 && i < len(parts); i++ {
		add := min(left, freeForSpan(parts[i].Node)-parts[i].Tokens)
		parts[i].Tokens += add
		left -= add
	}
	lead := chooseLead(now, parts)
	parts[lead].Lead = true
	r := Requirements{Prefill: tokens, Memory: parts[lead].Tokens, Long: true}
	return parts, r.Predict(now, parts[lead].Node), left == 0
}

// chooseLead returns the index of the part whose node prefills the prompt: the
// least loaded one in the long lane. A node outside the lane has less load, but
// there the prompt would delay small ones for most of a minute.
func chooseLead(now time.Time, parts []Part) int {
	best, least := -1, 0.0
	for i := range parts {
		n := parts[i].Node
		short, long := n.queuedPrefill(now)
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

// outsidePenalty exceeds any number of tokens that can wait on a node.
const outsidePenalty = 1e9

func sortByRoom(nodes []*Node) {
	sort.SliceStable(nodes, func(i, j int) bool { return freeForSpan(nodes[i]) > freeForSpan(nodes[j]) })
}

func freeForSpan(n *Node) int {
	if n.denied {
		return 0
	}
	return n.Free() - int(spanHeadroom*float64(n.MemoryTokens))
}

// minPartFraction is the fraction of a node's memory below which its free
// memory is not used for a span.
const minPartFraction = 0.1

// spanNodes returns the smallest set of nodes with enough free memory, ordered
// by name. Among equals, nodes that come early in the lane order are preferred,
// so that spans of all instances use the same nodes and leave the others free.
func (p *Pool) spanNodes(_ time.Time, tokens int) []*Node {
	nodes := append([]*Node(nil), p.lane.order...)
	inside := min(len(nodes), max(p.lane.size, tokens/max(1, p.largest)+2))
	sortByRoom(nodes[:inside])
	sortByRoom(nodes[inside:])
	room := 0
	chosen := nodes[:0]
	for _, n := range nodes {
		free := freeForSpan(n)
		if free < int(minPartFraction*float64(n.MemoryTokens)) {
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
