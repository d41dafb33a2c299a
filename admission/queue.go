package admission

import "time"

// Queue holds the waiting requests of one lane. While the fleet is contended, the organisation
// with the smallest usage relative to its weight goes first, so that tokens are shared fairly
// and an idle fleet rejects nobody. Otherwise, and within an organisation, the order of the
// tickets applies.
type Queue struct {
	queues map[*Account]*organisationQueue
	active []*organisationQueue // queues with tickets
	count  int
	tokens int
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{queues: map[*Account]*organisationQueue{}} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.count }

// Tokens returns the sum of their prompt tokens.
func (q *Queue) Tokens() int { return q.tokens }

// Push adds a ticket.
func (q *Queue) Push(t *Ticket) {
	l := q.queues[t.Account]
	if l == nil {
		l = &organisationQueue{account: t.Account}
		q.queues[t.Account] = l
	}
	if len(l.tickets) == 0 {
		q.active = append(q.active, l)
	}
	l.push(t)
	q.count++
	q.tokens += t.Request.PromptTokens
	a := t.Account
	a.Waiting++
	if t.Request.Long {
		a.WaitingTokens += t.Request.PromptTokens
	}
	if t.Span {
		a.SpanTokens += t.Request.PromptTokens
	}
}

// Remove removes a ticket from any position.
func (q *Queue) Remove(t *Ticket) {
	l := q.queues[t.Account]
	l.remove(t)
	if len(l.tickets) == 0 {
		q.deactivate(l)
	}
	q.count--
	q.tokens -= t.Request.PromptTokens
	a := t.Account
	a.Waiting--
	if t.Request.Long {
		a.WaitingTokens -= t.Request.PromptTokens
	}
	if t.Span {
		a.SpanTokens -= t.Request.PromptTokens
	}
}

func (q *Queue) deactivate(l *organisationQueue) {
	for i, other := range q.active {
		if other == l {
			q.active[i] = q.active[len(q.active)-1]
			q.active = q.active[:len(q.active)-1]
			return
		}
	}
}

// Heads appends the first ticket of each organisation to buffer: with byShare sorted by
// ascending share, otherwise in ticket order.
func (q *Queue) Heads(now time.Time, byShare bool, buffer []*Ticket) []*Ticket {
	for _, l := range q.active {
		buffer = append(buffer, l.tickets[0])
		for i := len(buffer) - 1; i > 0 && precedes(now, byShare, buffer[i], buffer[i-1]); i-- {
			buffer[i], buffer[i-1] = buffer[i-1], buffer[i]
		}
	}
	return buffer
}

func precedes(now time.Time, byShare bool, t, o *Ticket) bool {
	if !byShare {
		return t.before(o)
	}
	a, b := t.Account.Share(now), o.Account.Share(now)
	if a == b {
		return t.before(o)
	}
	return a < b
}

// All appends all waiting tickets to buffer, in no particular order.
func (q *Queue) All(buffer []*Ticket) []*Ticket {
	for _, l := range q.active {
		buffer = append(buffer, l.tickets...)
	}
	return buffer
}

// WaitingWeight returns the sum of the weights of the organisations with waiting requests.
func (q *Queue) WaitingWeight() float64 {
	total := 0.0
	for _, l := range q.active {
		total += l.account.Weight
	}
	return total
}
