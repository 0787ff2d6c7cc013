package emulator

import "container/list"

// memory is what an engine keeps: parts of prompts, and what running requests
// hold beside them. Parts that no request holds yield, the least recently used
// first.
type memory struct {
	room  int64
	used  int64
	parts map[uint64]*part
	// idle are the parts that no request holds, the last used in front.
	idle list.List
}

type part struct {
	Part
	holders int
	place   *list.Element
}

// longest returns the tokens of the longest beginning of a prompt that is kept.
func (m *memory) longest(parts []Part) int64 {
	total := int64(0)
	for _, p := range parts {
		if _, kept := m.parts[p.ID]; !kept {
			break
		}
		total += p.Tokens
	}
	return total
}

// take reserves what a request needs. It reports false when there is no room.
func (m *memory) take(r *run) bool {
	var held []uint64
	prompt := promptOf(r.Parts)
	kept := int64(0)
	for _, p := range r.Parts {
		known, exists := m.parts[p.ID]
		if !exists {
			break
		}
		m.hold(known)
		held = append(held, p.ID)
		kept += p.Tokens
	}
	need := prompt - kept + r.produced
	for m.used+need > m.room {
		if !m.evict() {
			for _, id := range held {
				m.release(m.parts[id])
			}
			return false
		}
	}
	m.used += need
	r.held, r.reserved = held, need
	r.unread = max(prompt+r.produced-max(kept, r.Copied), 0)
	return true
}

// keep turns the read prompt of a request into parts that others may use.
func (m *memory) keep(r *run) {
	for _, p := range r.Parts[len(r.held):] {
		known, exists := m.parts[p.ID]
		if !exists {
			known = &part{Part: p}
			m.parts[p.ID] = known
		} else {
			m.used -= p.Tokens // read twice at the same time
		}
		r.reserved -= p.Tokens
		m.hold(known)
		r.held = append(r.held, p.ID)
	}
}

// free gives up what a request holds; its parts stay until they yield.
func (m *memory) free(r *run) {
	m.used -= r.reserved
	for _, id := range r.held {
		m.release(m.parts[id])
	}
	r.held, r.reserved = nil, 0
}

func (m *memory) hold(p *part) {
	p.holders++
	if p.place != nil {
		m.idle.Remove(p.place)
		p.place = nil
	}
}

func (m *memory) release(p *part) {
	if p.holders--; p.holders == 0 {
		p.place = m.idle.PushFront(p)
	}
}

// evict drops the least recently used part. It reports false when all are held.
func (m *memory) evict() bool {
	back := m.idle.Back()
	if back == nil {
		return false
	}
	p := m.idle.Remove(back).(*part)
	delete(m.parts, p.ID)
	m.used -= p.Tokens
	return true
}
