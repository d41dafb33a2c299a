package dispatch

import (
	"time"

	"celeryport/request"
	"celeryport/routing"
)

// spanClearingDelay is how long a span waits for free memory before the first
// nodes of the lane are cleared for it. Clearing takes a part of its nodes from
// the long lane, and most spans find memory without it.
const spanClearingDelay = 15 * time.Second

// countOverdueSpans updates, per account, the prompt tokens of spans and large
// prompts that have waited for memory for longer than spanClearingDelay.
func (s *Scheduler) countOverdueSpans(now time.Time) {
	for _, a := range s.ordered {
		a.OverdueSpans = 0
	}
	for _, l := range s.targets {
		s.countOverdueOf(now, l)
	}
}

func (s *Scheduler) countOverdueOf(now time.Time, l *lanes) {
	s.tickets = l.byKind[spanLane].queue.All(s.tickets[:0])
	pool := s.table.Pool(l.byKind[longLane].target)
	if pool != nil && !s.contended(now, pool) {
		s.tickets = l.byKind[longLane].queue.All(s.tickets)
	}
	for _, t := range s.tickets {
		if overdue(now, t.Request) && (t.Span || isLarge(t.Request, pool)) {
			t.Account.OverdueSpans += t.Request.PromptTokens
		}
	}
}

// overdue reports whether the request has waited for memory for longer than
// spanClearingDelay.
func overdue(now time.Time, r *request.Request) bool {
	return now.Sub(r.Arrival) > spanClearingDelay
}

// largeFraction is the fraction of a node's memory from which a long prompt
// counts as large: it does not fit beside another long prompt, so that later
// and smaller ones repeatedly overtake it. Nodes are cleared for it as for a
// span, but not while the fleet is contended: then every cleared node means a
// refused prompt.
const largeFraction = 0.4

func isLarge(r *request.Request, pool *routing.Pool) bool {
	return float64(r.Tokens()) > largeFraction*float64(pool.Largest())
}
