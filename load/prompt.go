package load

import (
	"bytes"
	"io"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerToken is how many bytes the system counts as a token.
	bytesPerToken = 4
	// sharedBytes is the beginning that prompts of one subject share; it is as
	// long as the prefix that engines cache.
	sharedBytes = 1024 * bytesPerToken
	// blockBytes is the length of the text that repeats in the rest.
	blockBytes = 4096
)

// Prompt is a prompt of any length that takes only a few kilobytes: its own
// block of text, repeated behind the beginning that its subject shares. Both
// hold plain ASCII letters, so JSON leaves them as they are.
type Prompt struct {
	Tokens int
	Answer int // most tokens of the answer
	shared []byte
	block  []byte
}

const (
	letters       = "abcdefghijklmnopqrstuvwxyz      " // 32, so that 5 bits choose one
	bitsPerLetter = 5
	lettersAtOnce = 64 / bitsPerLetter
)

func randomText(seed uint64, size int) []byte {
	source := rand.NewPCG(seed, uint64(size))
	text := make([]byte, size)
	bits := uint64(0)
	for i := range text {
		if i%lettersAtOnce == 0 {
			bits = source.Uint64()
		}
		text[i] = letters[bits%uint64(len(letters))]
		bits >>= bitsPerLetter
	}
	return text
}

func newPrompt(subject, own uint64, tokens, answer int) *Prompt {
	return &Prompt{
		Tokens: tokens,
		Answer: answer,
		shared: randomText(subject, sharedBytes),
		block:  randomText(own, blockBytes),
	}
}

// Size is the length of the text in bytes.
func (p *Prompt) Size() int { return p.Tokens * bytesPerToken }

// Reader returns a new reader of the text.
func (p *Prompt) Reader() io.Reader {
	shared := p.shared[:min(len(p.shared), p.Size())]
	return io.MultiReader(
		bytes.NewReader(shared),
		&repeated{block: p.block, left: p.Size() - len(shared)},
	)
}

// Hash identifies the text as package answer does.
func (p *Prompt) Hash() uint64 {
	digest := xxhash.New()
	_, _ = io.Copy(digest, p.Reader())
	return digest.Sum64()
}

// repeated reads a block over and over.
type repeated struct {
	block []byte
	at    int
	left  int
}

// Read implements io.Reader.
func (r *repeated) Read(to []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	n := copy(to[:min(len(to), r.left)], r.block[r.at:])
	r.at = (r.at + n) % len(r.block)
	r.left -= n
	return n, nil
}
