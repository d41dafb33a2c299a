package upstream

import "maps"

// maxPrefixes bounds what is remembered of one upstream's prefix cache, so that
// neither a faulty upstream nor a large fleet can fill an instance's memory.
const maxPrefixes = 512

// cacheView follows the cache events of one incarnation.
type cacheView struct {
	last     uint64 // highest sequence applied
	prefixes *Prefixes
	order    []uint64 // oldest first
}

// apply takes events in any order of arrival and ignores those already seen. A
// gap means that events were lost: what is known stays, since a wrong entry only
// costs a preference, and the entry's own eviction by age ends it.
func (c *cacheView) apply(events []CacheEvent) {
	var tokens map[uint64]int
	for _, e := range events {
		if e.Sequence <= c.last {
			continue
		}
		c.last = e.Sequence
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
		c.order = append(c.order, e.PrefixHash)
	}
	tokens[e.PrefixHash] = e.Tokens
	for len(c.order) > maxPrefixes {
		delete(tokens, c.order[0])
		c.order = c.order[1:]
	}
}

func (c *cacheView) view() *Prefixes {
	if c.prefixes == nil {
		return NewPrefixes(nil)
	}
	return c.prefixes
}
