package placer

import (
	"container/list"

	"github.com/boragehead/boragehead/internal/definer"
)

// cacheShare is the part of an engine's memory that is expected to keep parts
// of earlier prompts; running requests hold the rest.
const cacheShare = 0.7

// cacheTokens returns how much an engine of a service is expected to keep.
func cacheTokens(service *definer.Service) int64 {
	if service.Engine == nil {
		return 0
	}
	return int64(cacheShare * float64(service.Engine.Memory))
}

// cache models which parts of prompts an engine keeps: those sent to it last.
// The zero value is empty.
type cache struct {
	order  list.List
	parts  map[uint64]*list.Element
	tokens int64
}

// touch notes that an engine reads a prompt, and drops what it then has no
// room for.
func (c *cache) touch(parts []Part, room int64) {
	for _, part := range parts {
		c.put(part)
	}
	c.trim(room)
}

// put notes one part as the last used.
func (c *cache) put(part Part) {
	if c.parts == nil {
		c.parts = map[uint64]*list.Element{}
	}
	if known, kept := c.parts[part.ID]; kept {
		c.order.MoveToFront(known)
		return
	}
	c.parts[part.ID] = c.order.PushFront(part)
	c.tokens += part.Tokens
}

func (c *cache) trim(room int64) {
	for c.tokens > room && c.order.Len() > 0 {
		oldest := c.order.Remove(c.order.Back()).(Part)
		delete(c.parts, oldest.ID)
		c.tokens -= oldest.Tokens
	}
}

// longest returns the tokens of the longest beginning of a prompt that is kept.
// A part is only read after those before it, so the last one that is known tells
// of all.
func (c *cache) longest(parts []Part) int64 {
	total, kept := int64(0), int64(0)
	for _, part := range parts {
		total += part.Tokens
		if _, known := c.parts[part.ID]; known {
			kept = total
		}
	}
	return kept
}
