package dispatch

import (
	"time"

	"celeryport/admission"
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
		s.heads = l.byKind[spanLane].queue.All(s.heads[:0])
		for _, t := range s.heads {
			countOverdue(now, t)
		}
	}
}

func countOverdue(now time.Time, t *admission.Ticket) {
	if now.Sub(t.Request.Arrival) > spanPatience {
		t.Account.OverdueSpans += t.Request.PromptTokens
	}
}
