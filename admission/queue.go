package admission

import "time"

// Queue holds the waiting requests of one lane. Between organisations the one
// with the least usage for its weight goes first while the fleet is contended, so
// shares are fair on tokens and an idle fleet refuses nobody; otherwise, and
// within an organisation, the order of tickets holds.
type Queue struct {
	lines  map[*Account]*line
	active []*line // lines with tickets
	count  int
	tokens int
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{lines: map[*Account]*line{}} }

// Len is the number of waiting requests.
func (q *Queue) Len() int { return q.count }

// Tokens is the sum of their prompt tokens.
func (q *Queue) Tokens() int { return q.tokens }

// Push adds a ticket at its place.
func (q *Queue) Push(t *Ticket) {
	l := q.lines[t.Account]
	if l == nil {
		l = &line{account: t.Account}
		q.lines[t.Account] = l
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

// Remove takes a ticket out, wherever it is.
func (q *Queue) Remove(t *Ticket) {
	l := q.lines[t.Account]
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

func (q *Queue) deactivate(l *line) {
	for i, other := range q.active {
		if other == l {
			q.active[i] = q.active[len(q.active)-1]
			q.active = q.active[:len(q.active)-1]
			return
		}
	}
}

// Heads appends the first ticket of each organisation to buffer: with byShare the
// one with the least share first, else in order of arrival.
func (q *Queue) Heads(now time.Time, byShare bool, buffer []*Ticket) []*Ticket {
	for _, l := range q.active {
		buffer = append(buffer, l.tickets[0])
		for i := len(buffer) - 1; i > 0 && goesFirst(now, byShare, buffer[i], buffer[i-1]); i-- {
			buffer[i], buffer[i-1] = buffer[i-1], buffer[i]
		}
	}
	return buffer
}

func goesFirst(now time.Time, byShare bool, t, o *Ticket) bool {
	if !byShare {
		return t.before(o)
	}
	a, b := t.Account.Share(now), o.Account.Share(now)
	if a == b {
		return t.before(o)
	}
	return a < b
}

// All appends every waiting ticket to buffer, in no order.
func (q *Queue) All(buffer []*Ticket) []*Ticket {
	for _, l := range q.active {
		buffer = append(buffer, l.tickets...)
	}
	return buffer
}

// WaitingWeight is the sum of the weights of the organisations that wait.
func (q *Queue) WaitingWeight() float64 {
	total := 0.0
	for _, l := range q.active {
		total += l.account.Weight
	}
	return total
}
