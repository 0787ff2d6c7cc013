package emulator

import "container/list"

// memory is the token memory of an engine. It holds cached prompt parts and the
// private reservations of running requests. Parts that no request uses are
// evicted in least-recently-used order.
type memory struct {
	// capacity and used are in tokens; used counts cached parts and reservations.
	capacity  int64
	used      int64
	partsByID map[uint64]*cachedPart
	// evictable holds the parts without users, the most recently used in front.
	evictable list.List
}

// cachedPart is a prompt part in memory. evictableElement is its place in the
// eviction list, nil while it has users.
type cachedPart struct {
	PromptPart
	users            int
	evictableElement *list.Element
}

// cachedPrefix returns how many leading tokens of a prompt are cached.
func (m *memory) cachedPrefix(parts []PromptPart) int64 {
	total := int64(0)
	for _, p := range parts {
		if _, cached := m.partsByID[p.ID]; !cached {
			break
		}
		total += p.Tokens
	}
	return total
}

// reserve pins the cached prefix of a request and reserves memory for the rest of
// its prompt and for the tokens generated so far. It evicts unused parts if
// needed, and returns false without a reservation if that does not free enough.
func (m *memory) reserve(r *request) bool {
	var pinned []uint64
	prompt := tokenCount(r.Parts)
	cached := int64(0)
	for _, p := range r.Parts {
		part, exists := m.partsByID[p.ID]
		if !exists {
			break
		}
		m.addUser(part)
		pinned = append(pinned, p.ID)
		cached += p.Tokens
	}
	need := prompt - cached + r.generatedTokens
	for m.used+need > m.capacity {
		if !m.evict() {
			for _, id := range pinned {
				m.removeUser(m.partsByID[id])
			}
			return false
		}
	}
	m.used += need
	r.usedParts, r.reservedTokens = pinned, need
	r.tokensToPrefill = max(prompt+r.generatedTokens-max(cached, r.CopiedTokens), 0)
	return true
}

// cachePrompt turns the prefilled prompt of a request into parts that other
// requests can share. The request stays a user of them.
func (m *memory) cachePrompt(r *request) {
	for _, p := range r.Parts[len(r.usedParts):] {
		part, exists := m.partsByID[p.ID]
		if !exists {
			part = &cachedPart{PromptPart: p}
			m.partsByID[p.ID] = part
		} else {
			m.used -= p.Tokens // another request prefilled the same part meanwhile
		}
		r.reservedTokens -= p.Tokens
		m.addUser(part)
		r.usedParts = append(r.usedParts, p.ID)
	}
}

// release gives back what a request reserved. Its parts stay cached until they
// are evicted.
func (m *memory) release(r *request) {
	m.used -= r.reservedTokens
	for _, id := range r.usedParts {
		m.removeUser(m.partsByID[id])
	}
	r.usedParts, r.reservedTokens = nil, 0
}

func (m *memory) addUser(p *cachedPart) {
	p.users++
	if p.evictableElement != nil {
		m.evictable.Remove(p.evictableElement)
		p.evictableElement = nil
	}
}

func (m *memory) removeUser(p *cachedPart) {
	if p.users--; p.users == 0 {
		p.evictableElement = m.evictable.PushFront(p)
	}
}

// evict drops the least recently used part without users. It returns false if
// there is none.
func (m *memory) evict() bool {
	back := m.evictable.Back()
	if back == nil {
		return false
	}
	p := m.evictable.Remove(back).(*cachedPart)
	delete(m.partsByID, p.ID)
	m.used -= p.Tokens
	return true
}
