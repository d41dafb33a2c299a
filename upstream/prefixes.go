package upstream

// Prefixes is an immutable set of the prefixes that an upstream has cached
// according to its cache events. Because events can be lost, the set may contain
// evicted prefixes and lack cached ones; it is used only for preferences and
// predictions, and correctness does not depend on it.
type Prefixes struct {
	tokens map[uint64]int
}

// NewPrefixes returns a set that takes ownership of tokens, a map of prefix hashes to lengths in
// tokens.
func NewPrefixes(tokens map[uint64]int) *Prefixes { return &Prefixes{tokens: tokens} }

// Tokens returns the number of cached tokens of the prefix, 0 if it is not in the set.
func (p *Prefixes) Tokens(hash uint64) int {
	if p == nil {
		return 0
	}
	return p.tokens[hash]
}
