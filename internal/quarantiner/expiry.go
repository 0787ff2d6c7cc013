package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// lastEvidence returns the time of the last crash that is not cleared, or of the
// last probe if that is later.
func (p *part) lastEvidence() time.Time {
	last := p.probedAt
	for _, c := range p.crashes {
		if !c.cleared && c.at.After(last) {
			last = c.at
		}
	}
	return last
}

// unclearedCrashes returns the number of crashes that are not cleared.
func (p *part) unclearedCrashes() int {
	count := 0
	for _, c := range p.crashes {
		if !c.cleared {
			count++
		}
	}
	return count
}

// dropExcess keeps the table within maxParts.
func (t *Table) dropExcess() {
	if len(t.parts) <= maxParts {
		return
	}
	type ranked struct {
		id        uint64
		uncleared int
		last      time.Time
	}
	ranks := make([]ranked, 0, len(t.parts))
	for id, p := range t.parts {
		ranks = append(ranks, ranked{id, p.unclearedCrashes(), p.lastEvidence()})
	}
	slices.SortFunc(ranks, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.uncleared, b.uncleared), a.last.Compare(b.last), cmp.Compare(a.id, b.id))
	})
	for _, least := range ranks[:len(ranks)-partsAfterDrop] {
		delete(t.parts, least.id)
	}
	t.verdict.levels = nil
}

// Expire drops what is too old.
func (t *Table) Expire(now time.Time) {
	maps.DeleteFunc(t.beginsByPart, func(_ uint64, began time.Time) bool { return now.Sub(began) > beginRetention })
	maps.DeleteFunc(t.contrasts, func(_ crashKind, began time.Time) bool { return now.Sub(began) > beginRetention })
	t.beginsByRequest.expire(now)
	levels := t.levels(now)
	t.verdict.levels = nil
	for id, p := range t.parts {
		for crashID, c := range p.crashes {
			if c.cleared && now.Sub(c.at) > HoldTime {
				delete(p.crashes, crashID)
			}
		}
		last, limit := p.lastEvidence(), HoldTime
		if levels[id] == LevelQuarantined {
			limit = quarantineRetention
			if p.askedAt.After(last) {
				last = p.askedAt
			}
		}
		if len(p.crashes) == 0 || p.unclearedCrashes() > 0 && now.Sub(last) > limit {
			delete(t.parts, id)
		}
	}
}
