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

// crashKind are the crashes of a service, by its hash, under requests or under parts of
// prompts. Each sound begin contrasts the former, and only one on a prompt the latter: that
// requests without prompts begin says nothing of prompts.
type crashKind struct {
	service   uint64
	ofRequest bool
}

func (p *part) kindOf(c crash) crashKind {
	return crashKind{service: c.service, ofRequest: p.isRequest}
}

// Table holds the suspected parts. The zero value is empty. It is not safe for
// concurrent use.
type Table struct {
	parts map[uint64]*part
	// beginsByPart holds the last sound begin of each part that was recorded here.
	beginsByPart map[uint64]time.Time
	// beginsByRequest holds the last sound begins of requests.
	beginsByRequest recentBegins
	// contrasts holds the last sound begin that contrasts the crashes of a kind.
	contrasts map[crashKind]time.Time
	// earliestOpen holds the time of the earliest open crash of each kind.
	earliestOpen map[crashKind]time.Time
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
		t.beginsByPart, t.contrasts = map[uint64]time.Time{}, map[crashKind]time.Time{}
	}
	kinds := []crashKind{{service: xxhash.Sum64String(service), ofRequest: true}}
	if len(traits.Parts) > 0 {
		kinds = append(kinds, crashKind{service: kinds[0].service})
	}
	for _, kind := range kinds {
		if began.After(t.contrasts[kind]) {
			t.contrasts[kind] = began
		}
	}
	traits.each(func(partID uint64, isRequest bool) {
		t.recordBegin(began, partID, isRequest)
		if p, known := t.parts[partID]; known && t.refine(partID, p) {
			t.markOwnChange(p)
		}
	})
	for _, kind := range kinds {
		if earliest, exists := t.earliestOpen[kind]; exists && earliest.Before(began) {
			t.contrast(kind)
		}
	}
}

// contrast applies the last sound begin to all open crashes of a kind.
func (t *Table) contrast(kind crashKind) {
	delete(t.earliestOpen, kind)
	for partID, p := range t.parts {
		if p.isRequest != kind.ofRequest {
			continue
		}
		if t.refine(partID, p) {
			t.markOwnChange(p)
		}
		for _, c := range p.crashes {
			t.noteOpen(p.kindOf(c), c)
		}
	}
}

// noteOpen updates earliestOpen for a crash of a kind.
func (t *Table) noteOpen(kind crashKind, c crash) {
	if !c.isOpen() {
		return
	}
	if t.earliestOpen == nil {
		t.earliestOpen = map[crashKind]time.Time{}
	}
	if earliest, exists := t.earliestOpen[kind]; !exists || c.at.Before(earliest) {
		t.earliestOpen[kind] = c.at
	}
}

// refine applies the sound begins that were recorded here to the crashes of a part.
// It reports whether that changed any.
func (t *Table) refine(partID uint64, p *part) bool {
	began := t.lastBegin(partID, p)
	changed := p.isRequest && !p.wasSound && !began.IsZero()
	p.wasSound = p.wasSound || changed
	for id, c := range p.crashes {
		if refined := t.refineCrash(p.kindOf(c), began, c); refined != c {
			p.crashes[id] = refined
			changed = true
		}
	}
	return changed
}

// refineCrash applies the last sound begin on a part, and those of others, to one of the
// part's crashes.
func (t *Table) refineCrash(kind crashKind, began time.Time, c crash) crash {
	c.cleared = c.cleared || c.at.Before(began)
	// A begin on the part itself would have cleared the crash.
	if last := t.contrasts[kind]; !c.cleared && !c.contrasted && c.at.Before(last) {
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
	kind := p.kindOf(after)
	after = t.refineCrash(kind, began, after)
	t.noteOpen(kind, after)
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
