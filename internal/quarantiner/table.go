// Package quarantiner finds the requests, and the parts of prompts, that crash servers.
//
// A [Table] collects, for each request and each part, the crashes of servers where it
// was about to begin its answer. A sound begin of an answer on it clears the crashes
// before. What is left after several crashes quarantines the request, or the part:
// requests that are it, or have it, are refused. Below, part means both, unless requests
// are named: a request is like a part that only its own repetitions have.
//
// Tables from several sources merge to the same state in any order. They grow only
// by union, so that a report may arrive late, twice or by several ways. Ages go
// over the wire, not clock times.
//
// The package starts no goroutines, opens no sockets and reads no clock.
package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// CrashID identifies a crash: one start of a server, which can crash only once.
type CrashID uint64

// NewCrashID returns the id of the crash of a start of a server.
func NewCrashID(server string, startedAtMillis int64) CrashID {
	return CrashID(xxhash.Sum64String(server + "/" + strconv.FormatInt(startedAtMillis, 10)))
}

// Limits of a table.
const (
	// maxParts bounds the suspected parts. When there are more, those with the
	// fewest crashes that are not cleared go first, of them the oldest.
	maxParts = 2048
	// partsAfterDrop is how many are left then. Dropping several at a time spreads
	// the cost of ranking them.
	partsAfterDrop = maxParts - maxParts/16
	// maxCrashes bounds the crashes that are kept of a part.
	maxCrashes = 64
	// maxBegins bounds the parts whose last sound begin is remembered.
	maxBegins = 8192
)

// Lifetimes.
const (
	// HoldTime is how long after the last evidence a quarantined part is refused
	// without exception, and how long other evidence is kept.
	HoldTime = 10 * time.Minute
	// quarantineRetention is how long a quarantined part is kept after the last
	// evidence and the last request for it.
	quarantineRetention = time.Hour
	// beginRetention is how long a sound begin is remembered, so that it clears
	// crashes that are reported late.
	beginRetention = 30 * time.Second
	// askedPrecision is how far the time of the last request for a quarantined part
	// may be behind.
	askedPrecision = time.Minute
)

// Part is what a table knows of a part, in the form in which tables exchange it.
type Part struct {
	ID      uint64  `cbor:"i"`
	Crashes []Crash `cbor:"c,omitempty"`
	// IsRequest means that this is a request.
	IsRequest bool `cbor:"r,omitempty"`
	// WasSound means that an answer on the request has begun soundly, before a crash or
	// after it.
	WasSound bool `cbor:"s,omitempty"`
	// Probes counts the requests that were let through as probes, the last of them
	// ProbeAge ago.
	Probes   int           `cbor:"p,omitempty"`
	ProbeAge time.Duration `cbor:"o,omitempty"`
	// AskedAge is how long ago a request with the quarantined part was refused;
	// negative if none was.
	AskedAge time.Duration `cbor:"a,omitempty"`
}

// Crash is the crash of a server under a part.
type Crash struct {
	ID  CrashID       `cbor:"i"`
	Age time.Duration `cbor:"a,omitempty"`
	// Cleared means that an answer on the part has begun soundly since.
	Cleared bool `cbor:"c,omitempty"`
	// Contrasted means that an answer of the same service without the part has begun
	// soundly since: the servers work.
	Contrasted bool `cbor:"o,omitempty"`
	// ContrastAge is how long ago the earliest such answer began; 0 from releases that do
	// not tell.
	ContrastAge time.Duration `cbor:"n,omitempty"`
	// Service is the hash of the server's service.
	Service uint64 `cbor:"s,omitempty"`
}

// part is a suspected part in a table.
type part struct {
	isRequest, wasSound bool

	crashes  map[CrashID]crash
	probes   int
	probedAt time.Time
	askedAt  time.Time
	// revision is that of the last change, and ownRevision that of the last change
	// that did not come from a merge.
	revision    uint64
	ownRevision uint64
}

// crash is a crash under a part, with the fields of Crash.
type crash struct {
	at                  time.Time
	cleared, contrasted bool
	// contrastedAt is when the answer began that contrasted the crash.
	contrastedAt time.Time
	service      uint64
}

// isOpen reports whether it is not known yet how answers begin since the crash.
func (c crash) isOpen() bool {
	return !c.cleared && !c.contrasted
}

// Table holds the suspected parts. The zero value is empty. It is not safe for
// concurrent use.
type Table struct {
	parts map[uint64]*part
	// beginsByPart holds the last sound begin of each part that was recorded here.
	beginsByPart map[uint64]time.Time
	// beginsByRequest holds the last sound begins of requests.
	beginsByRequest recentBegins
	// beginsByService holds the last sound begin of each service, by its hash.
	beginsByService map[uint64]time.Time
	// earliestOpen holds the time of the earliest crash that is open, by the hash of its
	// service.
	earliestOpen map[uint64]time.Time
	revision     uint64
	verdict      verdict
	// recent are the requests that were asked for here.
	recent recentRequests
}

// Revision returns the revision of the table, which grows with every change.
func (t *Table) Revision() uint64 {
	return t.revision
}

// RecordCrash records that a server of a service crashed while a request with some
// traits was there, which had not begun long before.
func (t *Table) RecordCrash(at time.Time, id CrashID, service string, traits Traits) {
	traits.each(func(partID uint64, isRequest bool) {
		p := t.part(partID)
		p.isRequest = p.isRequest || isRequest
		if t.addCrash(partID, p, id, crash{at: at, service: xxhash.Sum64String(service)}) {
			t.markOwnChange(p)
		}
	})
	t.dropExcess()
}

// RecordSoundBegin records that an answer of a service on some traits began soundly.
// It clears the crashes before, also those that are reported later, and shows that
// the service's servers work without the other parts.
func (t *Table) RecordSoundBegin(began time.Time, service string, traits Traits) {
	if t.beginsByPart == nil {
		t.beginsByPart, t.beginsByService = map[uint64]time.Time{}, map[uint64]time.Time{}
	}
	hash := xxhash.Sum64String(service)
	if began.After(t.beginsByService[hash]) {
		t.beginsByService[hash] = began
	}
	traits.each(func(partID uint64, isRequest bool) {
		t.recordBegin(began, partID, isRequest)
		if p, known := t.parts[partID]; known && t.refine(partID, p) {
			t.markOwnChange(p)
		}
	})
	if earliest, exists := t.earliestOpen[hash]; !exists || !earliest.Before(began) {
		return
	}
	delete(t.earliestOpen, hash)
	for partID, p := range t.parts {
		if t.refine(partID, p) {
			t.markOwnChange(p)
		}
		for _, c := range p.crashes {
			t.noteOpen(c)
		}
	}
}

// noteOpen updates earliestOpen for a crash.
func (t *Table) noteOpen(c crash) {
	if !c.isOpen() {
		return
	}
	if t.earliestOpen == nil {
		t.earliestOpen = map[uint64]time.Time{}
	}
	if earliest, exists := t.earliestOpen[c.service]; !exists || c.at.Before(earliest) {
		t.earliestOpen[c.service] = c.at
	}
}

// refine applies the sound begins that were recorded here to the crashes of a part.
// It reports whether that changed any.
func (t *Table) refine(partID uint64, p *part) bool {
	began := t.lastBegin(partID, p)
	changed := p.isRequest && !p.wasSound && !began.IsZero()
	p.wasSound = p.wasSound || changed
	for id, c := range p.crashes {
		if refined := t.refineCrash(began, c); refined != c {
			p.crashes[id] = refined
			changed = true
		}
	}
	return changed
}

// refineCrash applies the last sound begin on a part to one of its crashes.
func (t *Table) refineCrash(began time.Time, c crash) crash {
	c.cleared = c.cleared || c.at.Before(began)
	// A begin on the part itself would have cleared the crash.
	if last := t.beginsByService[c.service]; !c.cleared && !c.contrasted && c.at.Before(last) {
		c.contrasted, c.contrastedAt = true, last
	}
	return c
}

// part returns a part, which is added if it is not in the table.
func (t *Table) part(id uint64) *part {
	if t.parts == nil {
		t.parts = map[uint64]*part{}
	}
	p, known := t.parts[id]
	if !known {
		p = &part{crashes: map[CrashID]crash{}}
		t.parts[id] = p
	}
	return p
}

// addCrash joins a crash into a part: the earliest time counts, and cleared stays
// cleared. It reports whether that changed more than the time.
func (t *Table) addCrash(partID uint64, p *part, id CrashID, added crash) bool {
	before, known := p.crashes[id]
	after := added
	if known {
		after.cleared, after.contrasted = after.cleared || before.cleared, after.contrasted || before.contrasted
		if before.contrasted && (!added.contrasted || before.contrastedAt.Before(added.contrastedAt)) {
			after.contrastedAt = before.contrastedAt
		}
		after.service = max(after.service, before.service)
		if before.at.Before(after.at) {
			after.at = before.at
		}
	}
	began := t.lastBegin(partID, p)
	becameSound := p.isRequest && !p.wasSound && !began.IsZero()
	p.wasSound = p.wasSound || becameSound
	after = t.refineCrash(began, after)
	t.noteOpen(after)
	p.crashes[id] = after
	if len(p.crashes) > maxCrashes {
		p.dropExcess()
	}
	_, kept := p.crashes[id]
	return becameSound || kept && (!known || after.cleared != before.cleared || after.contrasted != before.contrasted)
}

// dropExcess drops the crash that matters least.
func (p *part) dropExcess() {
	var excess CrashID
	var least crash
	for id, c := range p.crashes {
		if excess == 0 || compareCrashes(c, least) < 0 || compareCrashes(c, least) == 0 && id < excess {
			excess, least = id, c
		}
	}
	delete(p.crashes, excess)
}

// compareCrashes orders crashes by how much they matter: of the cleared ones the
// latest most, of the others, which matter more, the earliest.
func compareCrashes(a, b crash) int {
	if a.cleared != b.cleared {
		if a.cleared {
			return -1
		}
		return 1
	}
	if !a.cleared {
		// A crash seems the later the longer its report took. Keeping the earliest
		// ones makes tables that have to drop some agree.
		return b.at.Compare(a.at)
	}
	return a.at.Compare(b.at)
}

func (t *Table) markChange(p *part) {
	t.revision++
	p.revision = t.revision
}

func (t *Table) markOwnChange(p *part) {
	t.markChange(p)
	p.ownRevision = t.revision
}

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
	for _, begins := range []map[uint64]time.Time{t.beginsByPart, t.beginsByService} {
		maps.DeleteFunc(begins, func(_ uint64, began time.Time) bool { return now.Sub(began) > beginRetention })
	}
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
