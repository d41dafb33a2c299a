package forward

import "celeryport/httpwire"

// idleEvents holds the comments and empty lines that precede the first event written to the caller: until then
// another upstream can still answer the call, and the head of the answer is not written either.
type idleEvents struct{ raw []byte }

// pass forwards an event without fields, or holds it back if the answer has not begun. It returns false for other
// events, to which it adds what it has held back.
func (h *idleEvents) pass(x *exchange, e *httpwire.Event) bool {
	switch {
	case e.Idle && !x.writer.Begun():
		h.raw = append(h.raw, e.Raw...)
	case e.Idle:
		x.writer.Part(e.Raw)
	case len(h.raw) > 0:
		e.Raw = append(h.raw, e.Raw...)
		h.raw = nil
	}
	return e.Idle
}

// end writes what is held back at the end of an answer without events.
func (h *idleEvents) end(x *exchange) {
	if len(h.raw) > 0 {
		x.writer.Part(h.raw)
	}
}
