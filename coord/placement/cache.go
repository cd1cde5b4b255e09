package placement

import "container/list"

// defaultMemory bounds a cache where the engine's memory is not known, in tokens.
const defaultMemory = 200_000

// maxParts bounds the parts that are remembered of one endpoint.
const maxParts = 4096

// cache is what an engine is believed to keep: the parts used last, within the
// memory that running requests leave. The zero value is empty.
type cache struct {
	order  list.List // of Part, the most recent first
	byID   map[uint64]*list.Element
	tokens int
}

// reusable returns how many tokens of the prompt are kept: those of its first
// parts up to the first that is missing.
func (c *cache) reusable(p Prompt) int {
	n := 0
	for _, part := range p.Parts {
		if _, ok := c.byID[part.ID]; !ok {
			break
		}
		n += part.Tokens
	}
	return n
}

// missing returns how many tokens of the prompt's shared parts are not kept.
func (c *cache) missing(p Prompt) int {
	n := 0
	kept := true
	for _, part := range p.Parts[:max(len(p.Parts)-1, 0)] {
		kept = kept && c.has(part.ID)
		if !kept {
			n += part.Tokens
		}
	}
	return n
}

// has tells whether a part is kept.
func (c *cache) has(id uint64) bool {
	_, ok := c.byID[id]
	return ok
}

// use notes that the prompt's parts have been read, and forgets the oldest
// parts beyond the memory.
func (c *cache) use(p Prompt, memory int) {
	if c.byID == nil {
		c.byID = map[uint64]*list.Element{}
	}
	for n := len(p.Parts) - 1; n >= 0; n-- { // the first part becomes the most recent
		part := p.Parts[n]
		if e, ok := c.byID[part.ID]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.byID[part.ID] = c.order.PushFront(part)
		c.tokens += part.Tokens
	}
	for c.order.Len() > 0 && (c.tokens > memory || c.order.Len() > maxParts) {
		last := c.order.Back()
		part := last.Value.(Part)
		c.order.Remove(last)
		delete(c.byID, part.ID)
		c.tokens -= part.Tokens
	}
}
