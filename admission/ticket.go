package admission

import (
	"time"

	"celeryport/request"
)

// Ticket is one waiting request.
type Ticket struct {
	Request *request.Request
	Account *Account
	Order   time.Time // sort key in the queue of the organisation, smaller goes first
	Span    bool      // needs the memory of several engines
	Value   any       // set by the owner
	index   int       // position in the heap plus one; 0: not queued
}

// Queued reports whether the ticket is in a queue.
func (t *Ticket) Queued() bool { return t.index > 0 }

// AgingStep is the waiting time that makes up for one level of priority. The order is fixed on
// arrival, so a waiting request is overtaken only by requests that arrive less than (difference
// of priority) * AgingStep after it, and none starves.
const AgingStep = 2 * time.Second

// maxPriorityLead limits the priority levels that count.
const maxPriorityLead = 10

// Order returns the sort key of a request. It depends on the request alone, so a request that is
// queued again after a failed attempt gets its former position.
func Order(r *request.Request) time.Time {
	lead := min(max(r.Priority, -maxPriorityLead), maxPriorityLead)
	return r.Arrival.Add(-time.Duration(lead) * AgingStep)
}

func (t *Ticket) before(o *Ticket) bool {
	if t.Order.Equal(o.Order) {
		return t.Request.ID < o.Request.ID
	}
	return t.Order.Before(o.Order)
}
