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
	if c.parts == nil {
		c.parts = map[uint64]*list.Element{}
	}
	for _, part := range parts {
		if known, kept := c.parts[part.ID]; kept {
			c.order.MoveToFront(known)
			continue
		}
		c.parts[part.ID] = c.order.PushFront(part)
		c.tokens += part.Tokens
	}
	for c.tokens > room && c.order.Len() > 0 {
		oldest := c.order.Remove(c.order.Back()).(Part)
		delete(c.parts, oldest.ID)
		c.tokens -= oldest.Tokens
	}
}

// longest returns the tokens of the longest beginning of a prompt that is kept.
func (c *cache) longest(parts []Part) int64 {
	total := int64(0)
	for _, part := range parts {
		if _, kept := c.parts[part.ID]; !kept {
			break
		}
		total += part.Tokens
	}
	return total
}
