package quarantiner

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Since returns the parts that changed after a revision, in no particular order.
func (t *Table) Since(now time.Time, revision uint64) []Part {
	return t.export(now, func(p *part) bool { return p.revision > revision })
}

// OwnSince returns the parts that changed after a revision by what was recorded
// here, as opposed to what was merged.
func (t *Table) OwnSince(now time.Time, revision uint64) []Part {
	return t.export(now, func(p *part) bool { return p.ownRevision > revision })
}

// Accused returns the parts that are suspected or may soon be, in no particular order.
func (t *Table) Accused(now time.Time) []Part {
	return t.export(now, func(p *part) bool { return p.unclearedCrashes() >= suspectingCrashes })
}

// Delay adds to the ages of a part some time that has passed since it was exported.
func (p *Part) Delay(passed time.Duration) {
	for i := range p.Crashes {
		p.Crashes[i].Age += passed
		if p.Crashes[i].Contrasted {
			p.Crashes[i].ContrastAge += passed
		}
	}
	p.ProbeAge += passed
	if p.AskedAge >= 0 {
		p.AskedAge += passed
	}
}

func (t *Table) export(now time.Time, include func(*part) bool) []Part {
	var exported []Part
	for id, p := range t.parts {
		if include(p) {
			exported = append(exported, p.export(now, id))
		}
	}
	return exported
}

func (p *part) export(now time.Time, id uint64) Part {
	exported := Part{ID: id, IsRequest: p.isRequest, WasSound: p.wasSound, Probes: p.probes, AskedAge: -1}
	if p.probes > 0 {
		exported.ProbeAge = max(now.Sub(p.probedAt), 0)
	}
	if !p.askedAt.IsZero() {
		exported.AskedAge = max(now.Sub(p.askedAt), 0)
	}
	for crashID, c := range p.crashes {
		sent := Crash{ID: crashID, Age: max(now.Sub(c.at), 0), Cleared: c.cleared, Contrasted: c.contrasted, Service: c.service}
		if c.contrasted {
			sent.ContrastAge = max(now.Sub(c.contrastedAt), 1)
		}
		exported.Crashes = append(exported.Crashes, sent)
	}
	return exported
}

// Digest returns a hash of what the table knows. Tables that have exchanged all have the
// same one, unless one has dropped what is too old or too much.
func (t *Table) Digest() uint64 {
	digest := uint64(0)
	for id, p := range t.parts {
		digest ^= hashState(id, uint64(p.probes), p.wasSound, false)
		for crashID, c := range p.crashes {
			digest ^= hashState(id, uint64(crashID), c.cleared, c.contrasted)
		}
	}
	return digest
}

func hashState(a, b uint64, flags ...bool) uint64 {
	var text [18]byte
	binary.BigEndian.PutUint64(text[:], a)
	binary.BigEndian.PutUint64(text[8:], b)
	for i, flag := range flags {
		if flag {
			text[16+i] = 1
		}
	}
	return xxhash.Sum64(text[:])
}

// Merge adds what another table knows. It reports whether that changed anything
// that others must be told.
func (t *Table) Merge(now time.Time, parts []Part) bool {
	before := t.revision
	for _, received := range parts {
		t.mergePart(now, received)
	}
	t.dropExcess()
	return t.revision != before
}

func (t *Table) mergePart(now time.Time, received Part) {
	p := t.part(received.ID)
	p.isRequest = p.isRequest || received.IsRequest
	changed, refinedHere := received.WasSound && !p.wasSound, false
	p.wasSound = p.wasSound || received.WasSound
	for _, c := range received.Crashes {
		at := now.Add(-max(c.Age, 0))
		if c.Cleared && now.Sub(at) > HoldTime {
			continue
		}
		added := crash{at: at, cleared: c.Cleared, contrasted: c.Contrasted, service: c.Service}
		if c.Contrasted {
			added.contrastedAt = at
			if c.ContrastAge > 0 {
				added.contrastedAt = now.Add(-c.ContrastAge)
			}
		}
		changed = t.addCrash(received.ID, p, c.ID, added) || changed
		known := p.crashes[c.ID]
		refinedHere = refinedHere || known.cleared && !c.Cleared || known.contrasted && !c.Contrasted
	}
	refinedHere = refinedHere || p.wasSound && !received.WasSound
	probedAt := now.Add(-max(received.ProbeAge, 0))
	switch {
	case received.Probes > p.probes:
		p.probes, p.probedAt, changed = received.Probes, probedAt, true
	case received.Probes == p.probes && received.Probes > 0 && probedAt.Before(p.probedAt):
		p.probedAt = probedAt
	}
	if askedAt := now.Add(-received.AskedAge); received.AskedAge >= 0 && askedAt.Sub(p.askedAt) > askedPrecision {
		p.askedAt, changed = askedAt, true
	}
	switch {
	case changed && refinedHere:
		t.markOwnChange(p)
	case changed:
		t.markChange(p)
	}
	if len(p.crashes) == 0 {
		delete(t.parts, received.ID)
	}
}
