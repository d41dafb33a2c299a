package admission

import (
	"time"

	"celeryport/request"
)

// Ticket is one waiting request.
type Ticket struct {
	Request *request.Request
	Account *Account
	Order   time.Time // place in the queue of the organisation, smaller goes first
	Span    bool      // needs the memory of several engines
	Value   any       // of the owner
	index   int       // in the heap, from 1; 0: not queued
}

// Queued says whether the ticket is in a queue.
func (t *Ticket) Queued() bool { return t.index > 0 }

// AgingStep is how much waiting time makes up for one level of priority. Orders
// are fixed at arrival, so a waiting request is overtaken only by requests that
// arrived less than (difference of priority) * AgingStep after it: none starves.
const AgingStep = 2 * time.Second

// maxPriorityLead bounds how many levels count.
const maxPriorityLead = 10

// Order returns the place of a request. It depends on the request alone, so a
// request that comes back after a failed attempt gets its old place again.
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
