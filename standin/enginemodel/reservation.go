package enginemodel

// reservation is memory under a lease, for a part of a span or a KV export.
type reservation struct {
	id     string
	owner  string
	kind   HoldingKind
	tokens int
	since  int64
	until  int64 // expiry of the lease
}

// reservations holds the reservations in order of creation. There are few of them, so
// a linear search is sufficient.
type reservations struct {
	list   []reservation
	tokens int
}

func (r *reservations) find(id string, kind HoldingKind) int {
	for i := range r.list {
		if r.list[i].id == id && r.list[i].kind == kind {
			return i
		}
	}
	return -1
}

func (r *reservations) add(n reservation) {
	r.list = append(r.list, n)
	r.tokens += n.tokens
}

// remove removes the matching reservations and returns their number.
func (r *reservations) remove(matches func(*reservation) bool) int {
	kept := r.list[:0]
	for i := range r.list {
		if matches(&r.list[i]) {
			r.tokens -= r.list[i].tokens
			continue
		}
		kept = append(kept, r.list[i])
	}
	removed := len(r.list) - len(kept)
	clear(r.list[len(kept):])
	r.list = kept
	return removed
}

// expire removes the reservations whose lease has expired. A crashed owner never
// releases its reservations; only the expiry of the lease frees their memory.
func (r *reservations) expire(now int64) {
	if len(r.list) == 0 {
		return
	}
	r.remove(func(one *reservation) bool { return one.until <= now })
}

// earliest returns the earliest expiry of a lease, if there is any.
func (r *reservations) earliest() (until int64, found bool) {
	for i := range r.list {
		if !found || r.list[i].until < until {
			until, found = r.list[i].until, true
		}
	}
	return until, found
}
