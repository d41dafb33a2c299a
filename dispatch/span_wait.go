package dispatch

import (
	"time"

	"celeryport/request"
	"celeryport/routing"
)

// spanPatience is how long a span looks for memory by itself before the first
// nodes of the lane are cleared for it. Clearing costs the long lane a part of
// its nodes, and most spans find room without it.
const spanPatience = 15 * time.Second

// countOverdueSpans measures what waits for memory for longer than that.
func (s *Scheduler) countOverdueSpans(now time.Time) {
	for _, a := range s.ordered {
		a.OverdueSpans = 0
	}
	for _, l := range s.targets {
		s.countOverdueOf(now, l)
	}
}

func (s *Scheduler) countOverdueOf(now time.Time, l *lanes) {
	s.heads = l.byKind[spanLane].queue.All(s.heads[:0])
	pool := s.table.Pool(l.byKind[longLane].target)
	if pool != nil && !s.contended(now, pool) {
		s.heads = l.byKind[longLane].queue.All(s.heads)
	}
	for _, t := range s.heads {
		if overdue(now, t.Request) && (t.Span || large(t.Request, pool)) {
			t.Account.OverdueSpans += t.Request.PromptTokens
		}
	}
}

// overdue says that the request has looked for memory for long enough.
func overdue(now time.Time, r *request.Request) bool {
	return now.Sub(r.Arrival) > spanPatience
}

// largePart is the part of a node's memory from which a long prompt counts as
// large: beside another long one it finds no room, so that later and smaller ones
// go before it again and again. Nodes are cleared for it as for a span, but not
// while the fleet is contended: then every cleared node is a refused prompt.
const largePart = 0.4

func large(r *request.Request, pool *routing.Pool) bool {
	return float64(r.Tokens()) > largePart*float64(pool.Largest())
}
