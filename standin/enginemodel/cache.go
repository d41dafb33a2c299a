package enginemodel

import (
	"container/list"

	"celeryport/upstream"
)

// prefix is an entry of the prefix cache.
type prefix struct {
	hash   uint64
	tokens int
}

// pendingEvent is a cache event together with its time of publication.
type pendingEvent struct {
	at    int64
	event upstream.CacheEvent
}

// cache is the prefix cache, with least-recently-used eviction. It uses only memory
// that no request or reservation needs.
type cache struct {
	limit     int
	lag       int64
	lossOneIn int
	used      int
	entries   map[uint64]*list.Element
	order     *list.List // front: most recently used
	sequence  uint64
	events    []pendingEvent
}

func newCache(c Config) cache {
	return cache{
		limit:     c.CacheTokens,
		lag:       int64(c.CacheLag),
		lossOneIn: c.CacheLossOneIn,
		entries:   map[uint64]*list.Element{},
		order:     list.New(),
	}
}

// lookup returns the cached tokens of the prefix and marks it as used.
func (c *cache) lookup(hash uint64) int {
	element, found := c.entries[hash]
	if !found {
		return 0
	}
	c.order.MoveToFront(element)
	return element.Value.(*prefix).tokens
}

// insert adds a prefix if it fits into the free memory, and evicts other prefixes if necessary.
func (c *cache) insert(now int64, hash uint64, tokens, free int) {
	if hash == 0 || tokens <= 0 || tokens > min(c.limit, free) {
		return
	}
	if element, found := c.entries[hash]; found {
		if element.Value.(*prefix).tokens >= tokens {
			c.order.MoveToFront(element)
			return
		}
		c.evict(now, element)
	}
	c.shrink(now, min(c.limit, free)-tokens)
	c.entries[hash] = c.order.PushFront(&prefix{hash: hash, tokens: tokens})
	c.used += tokens
	c.publish(now, upstream.CacheEvent{PrefixHash: hash, Tokens: tokens})
}

// shrink evicts prefixes until at most limit tokens are used.
func (c *cache) shrink(now int64, limit int) {
	for c.used > limit {
		c.evict(now, c.order.Back())
	}
}

func (c *cache) evict(now int64, element *list.Element) {
	old := c.order.Remove(element).(*prefix)
	delete(c.entries, old.hash)
	c.used -= old.tokens
	c.publish(now, upstream.CacheEvent{PrefixHash: old.hash, Tokens: old.tokens, Evicted: true})
}

// publish queues an event, or drops it to simulate the loss of events, which is
// visible as a gap in the sequence.
func (c *cache) publish(now int64, event upstream.CacheEvent) {
	c.sequence++
	if c.lossOneIn > 0 && c.sequence%uint64(c.lossOneIn) == 0 {
		return
	}
	event.Sequence = c.sequence
	c.events = append(c.events, pendingEvent{at: now + c.lag, event: event})
}

// takeDue removes and returns the events that are due for publication.
func (c *cache) takeDue(now int64) []upstream.CacheEvent {
	due := 0
	for due < len(c.events) && c.events[due].at <= now {
		due++
	}
	if due == 0 {
		return nil
	}
	taken := make([]upstream.CacheEvent, due)
	for i := range taken {
		taken[i] = c.events[i].event
	}
	c.events = append(c.events[:0], c.events[due:]...)
	return taken
}
