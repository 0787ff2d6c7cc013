// Package registrar keeps a table of the backend servers of the whole fleet, built
// from the announcements that they send to the control instances.
//
// Announcements are ordered by the start time of the server and its counter, not by
// their arrival, so that tables that receive them in different orders converge. A
// departed server leaves a tombstone, which only a later start under the same name
// replaces.
//
// A table holds several servers at one address if they say so. Those who use the servers
// decide between them: an entry that only claims an address must not end another.
package registrar

import (
	"container/list"
	"errors"
	"net/netip"
	"time"
)

// State is the state of a backend server as it announced it.
type State uint8

// The states, in the order in which a server goes through them.
const (
	// StateReady means that the server accepts new requests.
	StateReady State = iota
	// StateLeaving means that the server finishes its running requests and
	// accepts no new ones.
	StateLeaving
	// StateGone means that the server has departed.
	StateGone
)

// String returns the name of the state.
func (s State) String() string {
	if s > StateGone {
		return "unknown"
	}
	return [...]string{"ready", "leaving", "gone"}[s]
}

// ErrStale means that a newer announcement of the server is known.
var ErrStale = errors.New("older than what is known of this server")

// Server is a backend server as described by its newest announcement.
type Server struct {
	Name          string         `cbor:"n"`
	Service       string         `cbor:"s"`
	Address       netip.AddrPort `cbor:"a"`
	FailureDomain string         `cbor:"d"`
	State         State          `cbor:"t"`
	// Version is that of the server's software; empty if it is not known.
	Version string `cbor:"v,omitempty"`
	// Slots is the number of requests that the server runs concurrently.
	Slots int `cbor:"l"`
	// Warmup is the remaining warm-up time at the time of the announcement, that
	// is, Age ago.
	Warmup time.Duration `cbor:"w,omitempty"`
	// Remaining is the time until the server is taken away, or 0 if that is not
	// planned.
	Remaining time.Duration `cbor:"m,omitempty"`
	// StartedAtMillis is when the server started, in milliseconds of Unix time.
	// Counter numbers its announcements since then.
	StartedAtMillis int64  `cbor:"b"`
	Counter         uint64 `cbor:"c"`
	// Age is the time from the announcement to the copying of this value.
	Age time.Duration `cbor:"g"`
	// Silent means that no announcement has arrived for longer than SilenceTimeout.
	Silent bool `cbor:"x,omitempty"`
}

// Newer reports whether s is a later announcement than other of the same server.
// Within one start, StateGone is later than any other state, whatever the counters
// are.
func (s Server) Newer(other Server) bool {
	switch {
	case s.StartedAtMillis != other.StartedAtMillis:
		return s.StartedAtMillis > other.StartedAtMillis
	case s.State == StateGone || other.State == StateGone:
		return s.State == StateGone && other.State != StateGone
	}
	return s.Counter > other.Counter
}

// Timing of announcements.
const (
	// SilenceTimeout is the time without an announcement after which a server
	// counts as silent: four of the usual periods of 1.2 s, since a heartbeat may
	// be late.
	SilenceTimeout = 4800 * time.Millisecond
	// Retention is how long departed and silent servers stay in the table, so that
	// late announcements of them are recognized as stale.
	Retention = 2 * time.Minute
)

// Limits of a table.
const (
	// maxServers is far above the servers of a fleet.
	maxServers = 1 << 14
	// fullRetention is how long departed and silent servers stay in a full table, and
	// fullInterval the time between two looks for them.
	fullRetention = 15 * time.Second
	fullInterval  = time.Second
)

// ErrFull means that a table holds as many servers as it may, and has heard all of them
// lately.
var ErrFull = errors.New("too many servers")

// entry is a server in a table, with the time of its newest announcement and the
// revision of its last change.
type entry struct {
	Server
	lastHeard time.Time
	revision  uint64
	// warmUntil and removalAt are the times at which the warm-up and the server end, as
	// announced at the last change; in the past if there is no such time.
	warmUntil, removalAt time.Time
	// element holds the entry in Table.byRevision, and description is its key in
	// Table.byDescription.
	element     *list.Element
	description uint64
}

// Table holds the servers of the fleet. The zero value is empty. It is not safe
// for concurrent use.
type Table struct {
	entries map[string]*entry
	// byRevision holds the entries in the order of their revisions, so that the latest
	// changes are found without a look at every server.
	byRevision list.List
	revision   uint64
	// byDescription holds the entries by Server.DescriptionHash.
	byDescription map[uint64]*entry
	// fullUntil is when a full table is looked through again.
	fullUntil time.Time
}

// Announce applies an announcement, which was made announcement.Age before now. It
// returns ErrStale and changes nothing if the announcement is outdated, and ErrFull if it is
// that of a new server for which there is no room.
func (t *Table) Announce(now time.Time, announcement Server) error {
	if t.entries == nil {
		t.entries = map[string]*entry{}
	}
	heardAt := now.Add(-announcement.Age)
	known, exists := t.entries[announcement.Name]
	if exists && !announcement.Newer(known.Server) {
		return ErrStale
	}
	if !exists && !t.hasRoom(now) {
		return ErrFull
	}
	announcement.Age, announcement.Silent = 0, false
	if !exists {
		known = &entry{}
		t.entries[announcement.Name] = known
	}
	changed := !exists || known.differsVisibly(announcement, heardAt)
	known.Server, known.lastHeard = announcement, heardAt
	if changed {
		t.markChanged(known)
	}
	return nil
}

// hasRoom reports whether a server may be added. It removes servers from a full table that
// have not been heard for fullRetention, and looks for them once per fullInterval.
func (t *Table) hasRoom(now time.Time) bool {
	if len(t.entries) < maxServers {
		return true
	}
	if now.Before(t.fullUntil) {
		return false
	}
	t.fullUntil = now.Add(fullInterval)
	for _, e := range t.entries {
		if now.Sub(e.lastHeard) > fullRetention {
			t.remove(e)
		}
	}
	return len(t.entries) < maxServers
}

// timeTolerance is how far an announced time may deviate from what was last reported
// without being a change. Announcements are late by fractions of a second.
const timeTolerance = time.Second

// differsVisibly reports whether an announcement, made at a time, tells the users of the
// server anything that does not follow from the last report. The counter and times that
// only come nearer do not.
func (e *entry) differsVisibly(announcement Server, madeAt time.Time) bool {
	before, after := e.Server, announcement
	before.Counter, after.Counter = 0, 0
	before.Warmup, after.Warmup = 0, 0
	before.Remaining, after.Remaining = 0, 0
	return before != after || deviates(e.warmUntil.Sub(madeAt), announcement.Warmup) || deviates(e.removalAt.Sub(madeAt), announcement.Remaining)
}

// deviates reports whether an announced duration differs from the expected one, which
// counts as 0 if it is negative.
func deviates(expected, announced time.Duration) bool {
	return (max(expected, 0) - announced).Abs() > timeTolerance
}

// markChanged gives an entry a new revision of the table.
func (t *Table) markChanged(e *entry) {
	t.revision++
	e.revision = t.revision
	e.warmUntil, e.removalAt = e.lastHeard.Add(e.Warmup), e.lastHeard.Add(e.Remaining)
	t.updateDescription(e)
	if e.element == nil {
		e.element = t.byRevision.PushBack(e)
		return
	}
	t.byRevision.MoveToBack(e.element)
}

// updateDescription enters a changed entry under its description.
func (t *Table) updateDescription(e *entry) {
	if t.byDescription == nil {
		t.byDescription = map[uint64]*entry{}
	}
	delete(t.byDescription, e.description)
	e.description = e.DescriptionHash()
	t.byDescription[e.description] = e
}

// Described returns a copy of the server with a description hash, and whether the table has
// it.
func (t *Table) Described(now time.Time, hash uint64) (Server, bool) {
	e, known := t.byDescription[hash]
	if !known {
		return Server{}, false
	}
	return e.copyAt(now), true
}

// remove removes an entry.
func (t *Table) remove(e *entry) {
	t.byRevision.Remove(e.element)
	delete(t.byDescription, e.description)
	delete(t.entries, e.Name)
}

// RecordDeparture records that a server has departed. startedAtMillis identifies
// the start that has ended, as Server.StartedAtMillis does; 0 stands for the
// latest known one. The departure of an earlier start than the known one is
// ignored.
func (t *Table) RecordDeparture(now time.Time, name string, startedAtMillis int64) {
	known, exists := t.entries[name]
	switch {
	case !exists && startedAtMillis == 0:
		return
	case !exists:
		// The tombstone makes late announcements of this start stale. Announce
		// cannot find a newer one, since the name is unknown.
		_ = t.Announce(now, Server{Name: name, StartedAtMillis: startedAtMillis, State: StateGone})
		return
	case startedAtMillis != 0 && startedAtMillis < known.StartedAtMillis || known.State == StateGone:
		return
	}
	if startedAtMillis > known.StartedAtMillis {
		known.StartedAtMillis, known.Counter = startedAtMillis, 0 // counters begin anew with each start
	}
	known.State = StateGone
	known.lastHeard = now
	t.markChanged(known)
}

// ExpireSilent marks the servers that have become silent, and removes those
// without an announcement for longer than the retention. A removal does not
// change the revision.
func (t *Table) ExpireSilent(now time.Time) {
	for _, e := range t.entries {
		silence := now.Sub(e.lastHeard)
		silent := silence > SilenceTimeout && e.State != StateGone
		if silent != e.Silent {
			e.Silent = silent
			t.markChanged(e)
		}
		if silence > Retention {
			t.remove(e)
		}
	}
}

// Revision returns the revision of the table, which grows with every visible change
// of a server.
func (t *Table) Revision() uint64 {
	return t.revision
}

// RevisionOf returns the revision of a server's last visible change, or 0 if the
// table does not have it.
func (t *Table) RevisionOf(name string) uint64 {
	e, known := t.entries[name]
	if !known {
		return 0
	}
	return e.revision
}

// Since returns copies of the servers that changed after a revision, departed ones
// included, the latest change first. It takes time for each of them only.
func (t *Table) Since(now time.Time, revision uint64) []Server {
	var servers []Server
	for element := t.byRevision.Back(); element != nil; element = element.Prev() {
		e, isEntry := element.Value.(*entry)
		if !isEntry || e.revision <= revision {
			break
		}
		servers = append(servers, e.copyAt(now))
	}
	return servers
}

// copyAt returns a copy of the server with its age at the given time.
func (e *entry) copyAt(now time.Time) Server {
	server := e.Server
	server.Age = max(now.Sub(e.lastHeard), 0)
	return server
}

// Each calls visit with a copy of every server that is not gone, in no particular
// order.
func (t *Table) Each(now time.Time, visit func(Server)) {
	for _, e := range t.entries {
		if e.State != StateGone {
			visit(e.copyAt(now))
		}
	}
}

// Lookup returns a copy of a server by name, also if it is gone, and whether the
// table has it.
func (t *Table) Lookup(now time.Time, name string) (Server, bool) {
	e, known := t.entries[name]
	if !known {
		return Server{}, false
	}
	return e.copyAt(now), true
}
