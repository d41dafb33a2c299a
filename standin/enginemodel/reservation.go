package enginemodel

// reservation is leased memory: a part of a span, or a KV export.
type reservation struct {
	id     string
	owner  string
	kind   HoldingKind
	tokens int
	since  int64
	until  int64 // it lapses then
}

// reservations are few, so a slice in order of their creation serves.
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

// remove drops what the test matches and returns how many those were.
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

// expire drops what lapsed. An owner that died never frees its memory; the
// lapse of the lease is what gives it back.
func (r *reservations) expire(now int64) {
	if len(r.list) == 0 {
		return
	}
	r.remove(func(one *reservation) bool { return one.until <= now })
}

// earliest returns the next time at which one lapses.
func (r *reservations) earliest() (until int64, some bool) {
	for i := range r.list {
		if !some || r.list[i].until < until {
			until, some = r.list[i].until, true
		}
	}
	return until, some
}
