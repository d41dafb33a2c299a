package upstream

// Prefixes is an immutable set of the prefixes that an upstream is known to
// cache. Since events get lost it may be wrong both ways; it only steers
// preference and predictions, never correctness.
type Prefixes struct {
	tokens map[uint64]int
}

// NewPrefixes takes ownership of tokens, which maps prefix hashes to lengths.
func NewPrefixes(tokens map[uint64]int) *Prefixes { return &Prefixes{tokens: tokens} }

// Tokens returns how many tokens of the prefix are cached, 0 if unknown.
func (p *Prefixes) Tokens(hash uint64) int {
	if p == nil {
		return 0
	}
	return p.tokens[hash]
}
