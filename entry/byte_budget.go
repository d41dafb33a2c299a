package entry

import "sync/atomic"

// maxBodyBytes bounds the total size of the request bodies that one instance holds
// at a time. A prompt is held up to three times: as received, decoded, and encoded
// for the engine. Instances have little memory: without the bound a few hundred
// prompts of a million tokens would get the process killed, together with all its
// requests.
const maxBodyBytes = 256 << 20

// byteBudget limits the number of bytes that are reserved at a time.
type byteBudget struct {
	free atomic.Int64
}

func newByteBudget(limit int64) *byteBudget {
	b := &byteBudget{}
	b.free.Store(limit)
	return b
}

// reserve reserves n bytes and reports whether they were available.
func (b *byteBudget) reserve(n int64) bool {
	if b.free.Add(-n) >= 0 {
		return true
	}
	b.free.Add(n)
	return false
}

func (b *byteBudget) release(n int64) { b.free.Add(n) }
