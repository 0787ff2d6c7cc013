package placer

import (
	"container/list"

	"github.com/boragehead/boragehead/internal/definer"
)

// cacheMemoryShare is the share of an engine's memory that is expected to hold
// cached parts of earlier prompts. Running requests hold the rest.
const cacheMemoryShare = 0.7

// expectedCacheCapacity returns how many tokens an engine of a service is expected
// to keep cached. It returns 0 for services without engines.
func expectedCacheCapacity(service *definer.Service) int64 {
	if service.Engine == nil {
		return 0
	}
	return int64(cacheMemoryShare * float64(service.Engine.Memory))
}

// prefixCache models the parts of prompts that an engine has cached, assuming that
// it evicts the least recently used ones. The zero value is empty.
type prefixCache struct {
	// recency lists the cached parts, the most recently used one first.
	recency          list.List
	elementsByPartID map[uint64]*list.Element
	tokens           int64
}

// insert records that an engine processes a prompt, and evicts what exceeds the
// capacity.
func (c *prefixCache) insert(parts []PromptPart, capacity int64) {
	for _, part := range parts {
		c.insertPart(part)
	}
	c.evict(capacity)
}

// insertPart makes a part the most recently used one. It evicts nothing.
func (c *prefixCache) insertPart(part PromptPart) {
	if c.elementsByPartID == nil {
		c.elementsByPartID = map[uint64]*list.Element{}
	}
	if element, cached := c.elementsByPartID[part.ID]; cached {
		c.recency.MoveToFront(element)
		return
	}
	c.elementsByPartID[part.ID] = c.recency.PushFront(part)
	c.tokens += part.Tokens
}

// evict removes the least recently used parts until the rest fits the capacity.
func (c *prefixCache) evict(capacity int64) {
	for c.tokens > capacity && c.recency.Len() > 0 {
		oldest := c.recency.Remove(c.recency.Back()).(PromptPart)
		delete(c.elementsByPartID, oldest.ID)
		c.tokens -= oldest.Tokens
	}
}

// cachedTokens returns the tokens of the longest prefix of a prompt that is cached.
// A part is only processed after those before it, so all parts up to the last one
// that is found count as cached.
func (c *prefixCache) cachedTokens(parts []PromptPart) int64 {
	total, cached := int64(0), int64(0)
	for _, part := range parts {
		total += part.Tokens
		if _, known := c.elementsByPartID[part.ID]; known {
			cached = total
		}
	}
	return cached
}
