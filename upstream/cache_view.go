package upstream

import "maps"

// maxPrefixes limits the prefixes stored for each upstream, so that neither a
// faulty upstream nor a large fleet can exhaust the memory of an instance.
const maxPrefixes = 512

// cacheView reconstructs the prefix cache of one incarnation from its cache events.
type cacheView struct {
	lastSequence   uint64 // highest sequence applied
	prefixes       *Prefixes
	insertionOrder []uint64 // prefix hashes in order of insertion, oldest first
}

// apply applies the events whose sequence is higher than that of every event
// applied before, and ignores the others. A gap in the sequence means that events
// were lost. The entries are kept in that case: a wrong entry only leads to a less
// suitable upstream being preferred, and is evicted once it is the oldest.
func (c *cacheView) apply(events []CacheEvent) {
	var tokens map[uint64]int
	for _, e := range events {
		if e.Sequence <= c.lastSequence {
			continue
		}
		c.lastSequence = e.Sequence
		if tokens == nil {
			tokens = c.copyTokens()
		}
		c.applyOne(tokens, e)
	}
	if tokens != nil {
		c.prefixes = NewPrefixes(tokens)
	}
}

func (c *cacheView) copyTokens() map[uint64]int {
	if c.prefixes == nil {
		return map[uint64]int{}
	}
	return maps.Clone(c.prefixes.tokens)
}

func (c *cacheView) applyOne(tokens map[uint64]int, e CacheEvent) {
	if e.Evicted {
		delete(tokens, e.PrefixHash)
		return
	}
	if _, known := tokens[e.PrefixHash]; !known {
		c.insertionOrder = append(c.insertionOrder, e.PrefixHash)
	}
	tokens[e.PrefixHash] = e.Tokens
	for len(c.insertionOrder) > maxPrefixes {
		delete(tokens, c.insertionOrder[0])
		c.insertionOrder = c.insertionOrder[1:]
	}
}

func (c *cacheView) view() *Prefixes {
	if c.prefixes == nil {
		return NewPrefixes(nil)
	}
	return c.prefixes
}
