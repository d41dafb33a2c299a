package load

import (
	"bytes"
	"io"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerToken is the number of bytes that the system counts as one token.
	bytesPerToken = 4
	// sharedBytes is the length of the prefix that prompts of one subject share. It
	// equals the length of the prefix that engines cache.
	sharedBytes = 1024 * bytesPerToken
	// blockBytes is the length of the block that repeats in the rest of the prompt.
	blockBytes = 4096
)

// Prompt is a prompt of any length that needs only a few kilobytes of memory: the
// prefix shared by its subject, followed by its own block of text, repeated. Both
// consist of ASCII letters and spaces, so JSON does not escape them.
type Prompt struct {
	Tokens          int
	MaxAnswerTokens int // maximum tokens of the answer
	shared          []byte
	block           []byte
}

const (
	letters        = "abcdefghijklmnopqrstuvwxyz      " // 32 characters, so that 5 bits select one
	bitsPerLetter  = 5
	lettersPerDraw = 64 / bitsPerLetter
)

func randomText(seed uint64, size int) []byte {
	source := rand.NewPCG(seed, uint64(size))
	text := make([]byte, size)
	bits := uint64(0)
	for i := range text {
		if i%lettersPerDraw == 0 {
			bits = source.Uint64()
		}
		text[i] = letters[bits%uint64(len(letters))]
		bits >>= bitsPerLetter
	}
	return text
}

func newPrompt(subject, own uint64, tokens, answer int) *Prompt {
	return &Prompt{
		Tokens:          tokens,
		MaxAnswerTokens: answer,
		shared:          randomText(subject, sharedBytes),
		block:           randomText(own, blockBytes),
	}
}

// Size returns the length of the text in bytes.
func (p *Prompt) Size() int { return p.Tokens * bytesPerToken }

// Reader returns a new reader that reads the text from the start.
func (p *Prompt) Reader() io.Reader {
	shared := p.shared[:min(len(p.shared), p.Size())]
	return io.MultiReader(
		bytes.NewReader(shared),
		&repeatingReader{block: p.block, remaining: p.Size() - len(shared)},
	)
}

// Hash returns the hash of the text that package answer uses to identify it.
func (p *Prompt) Hash() uint64 {
	digest := xxhash.New()
	_, _ = io.Copy(digest, p.Reader())
	return digest.Sum64()
}

// repeatingReader reads a block repeatedly until remaining bytes have been read.
type repeatingReader struct {
	block     []byte
	offset    int
	remaining int
}

// Read implements io.Reader.
func (r *repeatingReader) Read(to []byte) (int, error) {
	if r.remaining == 0 {
		return 0, io.EOF
	}
	n := copy(to[:min(len(to), r.remaining)], r.block[r.offset:])
	r.offset = (r.offset + n) % len(r.block)
	r.remaining -= n
	return n, nil
}
