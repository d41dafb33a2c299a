package request

import "github.com/cespare/xxhash/v2"

// The first prefixTokens of a prompt name the prefix that engines may have
// cached: long enough to tell fitting histories or board files apart, short
// enough that prompts which share their start share it.
const (
	prefixTokens = 1024
	prefixBytes  = prefixTokens * bytesPerToken
)

// Prefix returns the hash and length of a prompt's cacheable prefix, and zeros
// for a prompt that is too short to have one. Entry instances and engines use
// the same function, so that cache events name what routing looks for.
func Prefix(prompt string) (hash uint64, tokens int) {
	if len(prompt) <= prefixBytes {
		return 0, 0
	}
	return xxhash.Sum64String(prompt[:prefixBytes]), prefixTokens
}
