package entry

import "sync/atomic"

// maxBodyBytes bounds the callers' bodies that one instance holds at a time. A
// prompt is held up to three times: as it came, decoded, and encoded for the
// engine.
// Instances are small: without the bound some hundred prompts of a million
// tokens would end the process, and with it every request that it holds.
const maxBodyBytes = 256 << 20

// byteBudget counts bytes that are held.
type byteBudget struct {
	free atomic.Int64
}

func newByteBudget(limit int64) *byteBudget {
	b := &byteBudget{}
	b.free.Store(limit)
	return b
}

// take reserves n bytes and reports whether there was room.
func (b *byteBudget) take(n int64) bool {
	if b.free.Add(-n) >= 0 {
		return true
	}
	b.free.Add(n)
	return false
}

func (b *byteBudget) give(n int64) { b.free.Add(n) }
