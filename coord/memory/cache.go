package memory

import (
	"container/list"
	"iter"
)

const (
	// defaultCacheTokens is the size of a cache, in tokens, if the engine's memory is unknown.
	defaultCacheTokens = 200_000
	// minCacheDivisor divides an engine's memory to give the least size of its cache: running
	// requests never reduce the cache below that.
	minCacheDivisor = 8
	// maxCachedParts is the most parts in the cache of one endpoint.
	maxCachedParts = 4096
)

// Cache is an estimate of the prompt parts that an engine caches: the most recently used ones
// within the memory that its running requests leave free. The zero value is empty.
type Cache struct {
	order  list.List // of *cachedPart, most recently used first
	byID   map[uint64]*list.Element
	tokens int
}

// cachedPart is a part in a cache.
type cachedPart struct {
	Part
	pending bool // the prompt that adds it has had no event yet
}

// Tokens returns the number of tokens of all cached parts.
func (c *Cache) Tokens() int { return c.tokens }

// Uncached returns how many tokens of the prompt have to be computed: all except
// those of the parts before the first missing part.
func (c *Cache) Uncached(p Prompt) int {
	cachedTokens := 0
	for _, part := range p.Parts {
		if !c.Has(part.ID) {
			break
		}
		cachedTokens += part.Tokens
	}
	return p.Tokens - min(cachedTokens, p.Tokens)
}

// UncachedShared returns how many tokens of the prompt's shared parts have to be computed.
func (c *Cache) UncachedShared(p Prompt) int {
	tokens := 0
	cached := true
	for _, part := range p.Shared() {
		cached = cached && c.Has(part.ID)
		if !cached {
			tokens += part.Tokens
		}
	}
	return tokens
}

// Has reports whether a part is cached.
func (c *Cache) Has(id uint64) bool {
	_, ok := c.byID[id]
	return ok
}

// Fetchable returns the length of the prompt's prefix, in tokens, that other engines can fetch: the
// parts before the first part that is missing or still being computed.
func (c *Cache) Fetchable(p Prompt) int {
	tokens := 0
	for _, part := range p.Parts {
		e, ok := c.byID[part.ID]
		if !ok || e.Value.(*cachedPart).pending {
			break
		}
		tokens += part.Tokens
	}
	return min(tokens, p.Tokens)
}

// Use records that a prompt was sent to the engine, and evicts the least recently used
// parts beyond the memory, in tokens. It returns the ids of the parts that the prompt adds. They
// are pending until a call of MarkCached or Discard.
func (c *Cache) Use(p Prompt, memory int) (added []uint64) {
	if c.byID == nil {
		c.byID = map[uint64]*list.Element{}
	}
	for n := len(p.Parts) - 1; n >= 0; n-- { // so that the first part becomes the most recently used
		part := p.Parts[n]
		if e, ok := c.byID[part.ID]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.byID[part.ID] = c.order.PushFront(&cachedPart{Part: part, pending: true})
		c.tokens += part.Tokens
		added = append(added, part.ID)
	}
	for c.order.Len() > 0 && (c.tokens > memory || c.order.Len() > maxCachedParts) {
		c.remove(c.order.Back())
	}
	return added
}

// Cached returns the parts that are not pending, most recently used first.
func (c *Cache) Cached() iter.Seq[Part] {
	return func(yield func(Part) bool) {
		for e := c.order.Front(); e != nil; e = e.Next() {
			if x := e.Value.(*cachedPart); !x.pending && !yield(x.Part) {
				return
			}
		}
	}
}

// Add adds a part that is not pending as the most recently used one, and evicts parts beyond the
// memory, in tokens.
func (c *Cache) Add(p Part, memory int) {
	c.MarkCached(c.Use(Prompt{Parts: []Part{p}}, memory))
}

func (c *Cache) remove(e *list.Element) {
	part := e.Value.(*cachedPart)
	c.order.Remove(e)
	delete(c.byID, part.ID)
	c.tokens -= part.Tokens
}

// MarkCached marks parts as cached: the prompt that added them has had an event.
func (c *Cache) MarkCached(added []uint64) {
	for _, id := range added {
		if e, ok := c.byID[id]; ok {
			e.Value.(*cachedPart).pending = false
		}
	}
}

// Discard removes pending parts: the prompt that added them ended without an event.
func (c *Cache) Discard(added []uint64) {
	for _, id := range added {
		if e, ok := c.byID[id]; ok && e.Value.(*cachedPart).pending {
			c.remove(e)
		}
	}
}

// CacheSize returns the size of a cache, in tokens, beside the tokens of the open attempts. A
// memory of 0 means unknown.
func CacheSize(memory, open int) int {
	if memory <= 0 {
		return defaultCacheTokens
	}
	return max(memory-open, memory/minCacheDivisor)
}
