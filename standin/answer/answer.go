// Package answer defines the answers of the stand-ins. Each token of the engine's
// answer is a function of the prompt and of the token's position, so that a receiver
// can distinguish the complete answer to its own prompt from a truncated, swapped or
// corrupted one.
package answer

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// TokenBytes is the length of each token in bytes.
const TokenBytes = 6

// The errors of Check and CheckHash.
var (
	// ErrShort means that the text is only the beginning of the right answer.
	ErrShort = errors.New("answer is short")
	// ErrDoubled means that more text follows after the complete right answer.
	ErrDoubled = errors.New("answer goes on after its end")
	// ErrWrong means that the text is not the answer to this prompt.
	ErrWrong = errors.New("answer is not the one to this prompt")
)

// Hash returns the hash that identifies a prompt.
func Hash(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// Append appends the tokens from..to (exclusive) of the answer to the prompt with
// the given hash.
func Append(dst []byte, hash uint64, from, to int) []byte {
	for i := from; i < to; i++ {
		dst = appendToken(dst, hash, i)
	}
	return dst
}

// Constants of the splitmix64 finaliser.
const (
	mixIncrement = 0x9e3779b97f4a7c15
	mixFirst     = 0xbf58476d1ce4e5b9
	mixSecond    = 0x94d049bb133111eb
)

func appendToken(dst []byte, hash uint64, index int) []byte {
	const digits = "0123456789abcdef"
	x := hash + uint64(index+1)*mixIncrement
	x = (x ^ x>>30) * mixFirst
	x = (x ^ x>>27) * mixSecond
	x ^= x >> 31
	for range TokenBytes - 1 {
		dst = append(dst, digits[x&0xf])
		x >>= 4
	}
	return append(dst, ' ')
}

// For returns the complete answer to the prompt with the given number of tokens.
func For(prompt string, tokens int) string {
	return string(Append(make([]byte, 0, tokens*TokenBytes), Hash(prompt), 0, tokens))
}

// Check verifies a text that was received as the answer to the prompt with the given
// number of tokens. It returns nil if the text is the complete right answer.
func Check(prompt string, tokens int, text string) error {
	return CheckHash(Hash(prompt), tokens, text)
}

// CheckHash is Check for callers that have only the hash of the prompt.
func CheckHash(hash uint64, tokens int, text string) error {
	want := string(Append(make([]byte, 0, tokens*TokenBytes), hash, 0, tokens))
	if text == want {
		return nil
	}
	sizes := strconv.Itoa(len(text)) + " of " + strconv.Itoa(len(want)) + " bytes"
	if strings.HasPrefix(want, text) {
		return errors.Wrap(ErrShort, sizes)
	}
	if strings.HasPrefix(text, want) {
		return errors.Wrap(ErrDoubled, sizes)
	}
	return errors.Wrap(ErrWrong, sizes)
}
