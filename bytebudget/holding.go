package bytebudget

// Holding is what one message has reserved of a budget. It is not safe for concurrent use.
type Holding struct {
	budget *Budget
	bytes  int64
}

// Hold returns an empty holding.
func (b *Budget) Hold() *Holding { return &Holding{budget: b} }

// Grow reserves n more bytes and reports whether they were available.
func (h *Holding) Grow(n int64) bool {
	if !h.budget.Reserve(n) {
		return false
	}
	h.bytes += n
	return true
}

// Release gives back everything that is reserved.
func (h *Holding) Release() {
	h.budget.Release(h.bytes)
	h.bytes = 0
}
