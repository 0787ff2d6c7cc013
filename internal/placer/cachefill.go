package placer

import (
	"slices"
	"time"
)

// CacheFill reports that a prompt was placed on a server whose cache was not
// known to hold its shared parts: the server computes them and then has them
// cached.
type CacheFill struct {
	Server string `cbor:"s"`
	// PartID identifies the last shared part of the prompt. Tokens is the size of
	// that part.
	PartID uint64 `cbor:"p"`
	Tokens int64  `cbor:"t"`
}

// timedCacheFill is a CacheFill with the time at which it became known here.
type timedCacheFill struct {
	CacheFill
	at time.Time
	// own means that this instance placed the prompt. Otherwise another instance of
	// this failure domain did.
	own bool
}

// maxCacheFills limits the cache fills of one report, which must fit into the
// datagram of a beacon. cacheFillTTL is how long a cache fill is kept for reports.
const (
	maxCacheFills = 32
	cacheFillTTL  = 2 * time.Second
)

// recordOwnCacheFill records a placement for reports to other instances, unless the
// server is known to have the last shared part cached. It must be called before
// the prompt is inserted into the server's cache.
func (p *Placer) recordOwnCacheFill(now time.Time, s *server, parts []PromptPart) {
	if len(parts) < 2 {
		return
	}
	last := parts[len(parts)-2]
	if s.cache.cachedTokens([]PromptPart{last}) > 0 {
		return
	}
	p.appendCacheFill(now, CacheFill{Server: s.Name, PartID: last.ID, Tokens: last.Tokens}, true)
}

func (p *Placer) appendCacheFill(now time.Time, fill CacheFill, own bool) {
	p.cacheFills = append(p.cacheFills, timedCacheFill{CacheFill: fill, at: now, own: own})
}

// dropOldCacheFills removes the cache fills that are older than cacheFillTTL.
func (p *Placer) dropOldCacheFills(now time.Time) {
	old := 0
	for old < len(p.cacheFills) && now.Sub(p.cacheFills[old].at) > cacheFillTTL {
		old++
	}
	p.cacheFills = p.cacheFills[old:]
}

// CacheFills returns the cache fills of the last maxAge, the newest first and at
// most maxCacheFills: those of this instance, or of the whole failure domain if
// wholeDomain is set. None is kept for longer than cacheFillTTL.
func (p *Placer) CacheFills(now time.Time, maxAge time.Duration, wholeDomain bool) []CacheFill {
	p.dropOldCacheFills(now)
	var recent []CacheFill
	for _, fill := range slices.Backward(p.cacheFills) {
		if now.Sub(fill.at) > maxAge || len(recent) == maxCacheFills {
			break
		}
		if fill.own || wholeDomain {
			recent = append(recent, fill.CacheFill)
		}
	}
	return recent
}

// AddCacheFills adds the cache fills that another instance of this region reports,
// the newest first, to the modeled caches. Those of unknown servers, or already
// known, are ignored. sameDomain reports whether the sender is an instance of this
// failure domain; its cache fills are then also part of what CacheFills returns for
// the whole domain.
func (p *Placer) AddCacheFills(now time.Time, sameDomain bool, fills []CacheFill) {
	for _, fill := range slices.Backward(fills) {
		s, known := p.serversByName[fill.Server]
		if !known || s.cache.cachedTokens([]PromptPart{{ID: fill.PartID, Tokens: 1}}) > 0 {
			continue
		}
		s.cache.insertPart(PromptPart{ID: fill.PartID, Tokens: fill.Tokens})
		s.cache.evict(s.cacheCapacity)
		if sameDomain {
			p.appendCacheFill(now, fill, false)
		}
	}
}
