// Package bytebudget bounds the bytes that an instance holds for its callers and upstreams at
// a time. Without a bound a few hundred slow callers would get the process killed for its
// memory, together with all its requests.
package bytebudget

import "sync/atomic"

// Budget limits the number of bytes that are reserved at a time. It is safe for concurrent use.
type Budget struct {
	free atomic.Int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget {
	b := &Budget{}
	b.free.Store(limit)
	return b
}

// Reserve reserves n bytes and reports whether they were available.
func (b *Budget) Reserve(n int64) bool {
	if b.free.Add(-n) >= 0 {
		return true
	}
	b.free.Add(n)
	return false
}

// Release gives back n reserved bytes.
func (b *Budget) Release(n int64) { b.free.Add(n) }

// Free returns the number of bytes that are not reserved.
func (b *Budget) Free() int64 { return b.free.Load() }
