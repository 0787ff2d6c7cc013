// Package registrar knows the backend servers of the whole fleet from what they
// say of themselves to the control instances.
//
// The one idea: what a server says is ordered by its birth and its counter, not
// by when it arrives, so that tables which hear in different orders agree. A
// departure is a tombstone: only a later birth under the same name ends it.
package registrar

import (
	"errors"
	"net/netip"
	"time"
)

// State is what a server says of itself, or what is concluded from its silence.
type State uint8

// The states, in the order in which they replace each other.
const (
	// StateReady servers take work.
	StateReady State = iota
	// StateLeaving servers finish what they have and take no new work.
	StateLeaving
	// StateGone servers have said goodbye.
	StateGone
)

// String names the state.
func (s State) String() string {
	return [...]string{"ready", "leaving", "gone"}[s]
}

// ErrStale means that newer word of the server is known already.
var ErrStale = errors.New("older than what is known of this server")

// Server is one backend server as it described itself.
type Server struct {
	Name          string         `cbor:"n"`
	Service       string         `cbor:"s"`
	Address       netip.AddrPort `cbor:"a"`
	FailureDomain string         `cbor:"d"`
	State         State          `cbor:"t"`
	// Slots is how many requests it works on at once.
	Slots int `cbor:"l"`
	// Warmup is how much longer it stays cold, counted from Age ago.
	Warmup time.Duration `cbor:"w,omitempty"`
	// Remaining, unless 0, is the time until it is taken away.
	Remaining time.Duration `cbor:"m,omitempty"`
	// Born is when it started, in milliseconds of Unix time, and Counter
	// numbers what it has said since.
	Born    int64  `cbor:"b"`
	Counter uint64 `cbor:"c"`
	// Age is how long ago it said so, when this value was copied.
	Age time.Duration `cbor:"g"`
	// Silent means that nothing was heard for longer than Silence.
	Silent bool `cbor:"x,omitempty"`
}

// Newer reports whether this is later word of the same server.
func (s Server) Newer(than Server) bool {
	switch {
	case s.Born != than.Born:
		return s.Born > than.Born
	case s.State == StateGone || than.State == StateGone:
		return s.State == StateGone && than.State != StateGone
	}
	return s.Counter > than.Counter
}

// Times of announcements.
const (
	// Silence is how long a server may be unheard before it counts as silent:
	// four of the usual periods of 1.2 s, since a heartbeat may come late.
	Silence = 4800 * time.Millisecond
	// memory is how long departed and silent servers are remembered, so that
	// late word of them is recognized.
	memory = 2 * time.Minute
)

// entry is a server with what a table knows of it.
type entry struct {
	Server
	heard    time.Time
	revision uint64
}

// Table holds the servers of the fleet. The zero value is empty. It is not safe
// for concurrent use.
type Table struct {
	entries  map[string]*entry
	revision uint64
}

// Announce takes what a server says of itself, or ErrStale.
func (t *Table) Announce(now time.Time, said Server) error {
	if t.entries == nil {
		t.entries = map[string]*entry{}
	}
	heard := now.Add(-said.Age)
	known, exists := t.entries[said.Name]
	if exists && !said.Newer(known.Server) {
		return ErrStale
	}
	if t.displaced(said) {
		return ErrStale
	}
	said.Age, said.Silent = 0, false
	if !exists {
		known = &entry{}
		t.entries[said.Name] = known
	}
	moved := !exists || changed(known.Server, said)
	known.Server, known.heard = said, heard
	if moved {
		t.touch(known)
	}
	t.displace(said)
	return nil
}

// changed reports whether a difference matters to those who use the server;
// its counter alone does not.
func changed(before, after Server) bool {
	before.Counter, after.Counter = 0, 0
	before.Warmup = before.Warmup.Truncate(time.Second)
	after.Warmup = after.Warmup.Truncate(time.Second)
	return before != after
}

func (t *Table) touch(e *entry) {
	t.revision++
	e.revision = t.revision
}

// displaced reports whether a younger server has the address already: what is
// said then comes from a process that has ended.
func (t *Table) displaced(said Server) bool {
	for _, other := range t.entries {
		if other.Name != said.Name && other.Address == said.Address && other.Born > said.Born && other.State != StateGone {
			return true
		}
	}
	return false
}

// displace ends the servers that had the address before.
func (t *Table) displace(said Server) {
	if said.State == StateGone {
		return
	}
	for _, other := range t.entries {
		if other.Name != said.Name && other.Address == said.Address && other.Born < said.Born && other.State != StateGone {
			other.State = StateGone
			t.touch(other)
		}
	}
}

// Leave records that a server has said goodbye. Born is 0 when the goodbye did
// not tell it; it then ends the birth that is known.
func (t *Table) Leave(now time.Time, name string, born int64) {
	known, exists := t.entries[name]
	switch {
	case !exists && born == 0:
		return
	case !exists:
		_ = t.Announce(now, Server{Name: name, Born: born, State: StateGone}) // nothing older is known
		return
	case born != 0 && born < known.Born || known.State == StateGone:
		return
	}
	known.Born = max(known.Born, born)
	known.State = StateGone
	known.heard = now
	t.touch(known)
}

// Tick notes which servers have fallen silent and forgets old ones.
func (t *Table) Tick(now time.Time) {
	for name, e := range t.entries {
		silence := now.Sub(e.heard)
		silent := silence > Silence && e.State != StateGone
		if silent != e.Silent {
			e.Silent = silent
			t.touch(e)
		}
		if silence > memory {
			delete(t.entries, name)
		}
	}
}

// Revision numbers the changes of the table.
func (t *Table) Revision() uint64 {
	return t.revision
}

// RevisionOf returns the revision at which a server last changed, or 0.
func (t *Table) RevisionOf(name string) uint64 {
	e, known := t.entries[name]
	if !known {
		return 0
	}
	return e.revision
}

// Since returns copies of the servers that changed after a revision.
func (t *Table) Since(now time.Time, revision uint64) []Server {
	var servers []Server
	for _, e := range t.entries {
		if e.revision > revision {
			servers = append(servers, e.copyAt(now))
		}
	}
	return servers
}

func (e *entry) copyAt(now time.Time) Server {
	server := e.Server
	server.Age = max(now.Sub(e.heard), 0)
	return server
}

// Each calls a function for every server that has not gone.
func (t *Table) Each(now time.Time, visit func(Server)) {
	for _, e := range t.entries {
		if e.State != StateGone {
			visit(e.copyAt(now))
		}
	}
}

// Lookup returns a server by name.
func (t *Table) Lookup(now time.Time, name string) (Server, bool) {
	e, known := t.entries[name]
	if !known {
		return Server{}, false
	}
	return e.copyAt(now), true
}
