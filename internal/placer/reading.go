package placer

import (
	"slices"
	"time"
)

// Reading tells that a server was sent a prompt with a shared part that it was
// not known to keep.
type Reading struct {
	Server string `cbor:"s"`
	// Part is the last shared part, and Tokens its size.
	Part   uint64 `cbor:"p"`
	Tokens int64  `cbor:"t"`
}

// heardReading is a reading with when it became known here.
type heardReading struct {
	Reading
	at time.Time
	// own readings were placed here, the others by an instance of this failure
	// domain.
	own bool
}

// mostReadings bounds what one beacon tells, so that it fits a datagram, and
// readingMemory how long a reading can be told on.
const (
	mostReadings  = 32
	readingMemory = 2 * time.Second
)

// noteReading remembers what others do not know of a placement.
func (p *Placer) noteReading(now time.Time, s *server, parts []Part) {
	if len(parts) < 2 {
		return
	}
	last := parts[len(parts)-2]
	if s.cache.longest([]Part{last}) > 0 {
		return
	}
	p.rememberReading(now, Reading{Server: s.Name, Part: last.ID, Tokens: last.Tokens}, true)
}

func (p *Placer) rememberReading(now time.Time, reading Reading, own bool) {
	p.readings = append(p.readings, heardReading{Reading: reading, at: now, own: own})
}

func (p *Placer) forgetReadings(now time.Time) {
	old := 0
	for old < len(p.readings) && now.Sub(p.readings[old].at) > readingMemory {
		old++
	}
	p.readings = p.readings[old:]
}

// Readings returns the newest readings within some time: those placed here, or
// those of the whole failure domain.
func (p *Placer) Readings(now time.Time, within time.Duration, domain bool) []Reading {
	p.forgetReadings(now)
	var recent []Reading
	for _, known := range slices.Backward(p.readings) {
		if now.Sub(known.at) > within || len(recent) == mostReadings {
			break
		}
		if known.own || domain {
			recent = append(recent, known.Reading)
		}
	}
	return recent
}

// HearReadings takes in what another instance of this region has placed. Near
// tells that it is one of this failure domain.
func (p *Placer) HearReadings(now time.Time, near bool, readings []Reading) {
	for _, reading := range slices.Backward(readings) {
		s, known := p.servers[reading.Server]
		if !known || s.cache.longest([]Part{{ID: reading.Part, Tokens: 1}}) > 0 {
			continue
		}
		s.cache.put(Part{ID: reading.Part, Tokens: reading.Tokens})
		s.cache.trim(s.room)
		if near {
			p.rememberReading(now, reading, false)
		}
	}
}
