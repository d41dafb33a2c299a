package request

import "github.com/cespare/xxhash/v2"

// The first prefixTokens of a prompt identify the prefix that engines may have
// cached. They are long enough to distinguish prompts with different histories
// and short enough that prompts with a common beginning share them.
const (
	prefixTokens = 1024
	prefixBytes  = prefixTokens * bytesPerToken
)

// Prefix returns the hash and length of a prompt's cacheable prefix, or zeros
// if the prompt is too short to have one. Entry instances and engines use the
// same function, so that cache events and routing refer to the same hashes.
func Prefix(prompt string) (hash uint64, tokens int) {
	if len(prompt) <= prefixBytes {
		return 0, 0
	}
	return xxhash.Sum64String(prompt[:prefixBytes]), prefixTokens
}
