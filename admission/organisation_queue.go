package admission

// organisationQueue holds the waiting tickets of one organisation as a binary heap, sorted by
// Ticket.before.
type organisationQueue struct {
	account *Account
	tickets []*Ticket
	tokens  int
}

func (l *organisationQueue) push(t *Ticket) {
	l.tickets = append(l.tickets, t)
	t.index = len(l.tickets)
	l.tokens += t.Request.PromptTokens
	l.up(len(l.tickets) - 1)
}

func (l *organisationQueue) remove(t *Ticket) {
	i := t.index - 1
	last := len(l.tickets) - 1
	l.swap(i, last)
	l.tickets[last] = nil
	l.tickets = l.tickets[:last]
	t.index = 0
	l.tokens -= t.Request.PromptTokens
	if i < last {
		l.down(i)
		l.up(i)
	}
}

func (l *organisationQueue) swap(i, j int) {
	l.tickets[i], l.tickets[j] = l.tickets[j], l.tickets[i]
	l.tickets[i].index = i + 1
	l.tickets[j].index = j + 1
}

func (l *organisationQueue) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !l.tickets[i].before(l.tickets[parent]) {
			return
		}
		l.swap(i, parent)
		i = parent
	}
}

func (l *organisationQueue) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(l.tickets) {
			return
		}
		if right := child + 1; right < len(l.tickets) && l.tickets[right].before(l.tickets[child]) {
			child = right
		}
		if !l.tickets[child].before(l.tickets[i]) {
			return
		}
		l.swap(i, child)
		i = child
	}
}
