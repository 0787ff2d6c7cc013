// Package tracker keeps the backend servers of one failure domain, as known from
// their own announcements. There is no other list of servers: a server that has
// been silent for three announcement periods is no longer used, and one that
// announces that it is leaving gets no new work.
package tracker

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Timing of announcements.
const (
	// AnnouncementPeriod is the time between two announcements of a server.
	AnnouncementPeriod = time.Second
	// SilenceTimeout is the time without an announcement after which a server is
	// no longer used.
	SilenceTimeout = 3 * AnnouncementPeriod
)

// State is the state that a server announces.
type State string

// States of a server.
const (
	StateReady   State = "ready"
	StateLeaving State = "leaving"
)

// Announcement is what a server tells about itself.
type Announcement struct {
	// Name is unique among the servers of the failure domain.
	Name    string
	Address netip.AddrPort
	Pools   []string
	Models  []string
	State   State
	// Incarnation and Counter order the announcements of a server. Those that
	// arrive late are ignored.
	Incarnation int64
	Counter     uint64
	// MaxRunning is the number of requests that the server batches at once.
	MaxRunning int
	Load       Load
	// ChecksFencing is true if the server refuses an order that carries an old
	// fencing number.
	ChecksFencing bool
}

// Load is the load that a server reports. It lags behind the actual load.
type Load struct {
	// Running and Waiting are numbers of requests.
	Running int
	Waiting int
	// Tokens is the remaining work, in tokens.
	Tokens int64
}

// Server is what an entry instance knows about a server. The user of the table
// keeps Own, Speed, Failures and EjectedUntil up to date.
type Server struct {
	// Announcement is the latest one.
	Announcement
	// LastHeard is when that announcement arrived.
	LastHeard time.Time
	// Own is the unfinished work that this instance has sent to the server, and
	// OwnAtReport what it was when the latest announcement arrived.
	Own         Work
	OwnAtReport Work
	// Speed is a moving average of the tokens per second that the server
	// generates over all requests of its batch, or 0 if it is not known.
	Speed float64
	// Failures is the number of failures in a row, and EjectedUntil the end of
	// the ejection that they caused.
	Failures     int
	EjectedUntil time.Time
	// Hash is the hash of the name, for rendezvous hashing.
	Hash uint64
	// FirstHeard is when the first announcement of this incarnation arrived.
	FirstHeard time.Time
}

// Work is an amount of unfinished work.
type Work struct {
	Requests int
	// Tokens is the remaining work, in tokens. An instance counts each of its
	// own requests in full until it ends.
	Tokens int64
	// Prefill is the number of prompt tokens that are still to be prefilled. It
	// is known for an instance's own work only.
	Prefill int64
}

// WorkOfOthers returns the work that other instances have sent to the server: its
// reported load less what this instance contributed to it. It lags as the reports
// do.
func (s *Server) WorkOfOthers() Work {
	requests := s.Load.Running + s.Load.Waiting - s.OwnAtReport.Requests
	tokens := s.Load.Tokens - s.OwnAtReport.Tokens
	return Work{Requests: max(requests, 0), Tokens: max(tokens, 0)}
}

// FreeSlots returns how many more requests the server can batch. It is never
// negative.
func (s *Server) FreeSlots() int {
	return max(s.MaxRunning-s.Own.Requests-s.WorkOfOthers().Requests, 0)
}

// Table holds the servers of a failure domain. The zero value is empty. It is
// not safe for concurrent use.
type Table struct {
	serversByName map[string]*Server
	poolsByName   map[string]*pool
}

// pool holds the servers that announce a pool, sorted by name.
type pool struct {
	servers []*Server
	// usable is the buffer for the result of UsableInPool.
	usable []*Server
}

// Record stores an announcement. It returns false, and ignores the announcement,
// if it is not newer than the one stored. A ready server whose announcements have been ignored
// until it is silent counts as announced anew: the stored one was not its own.
func (t *Table) Record(now time.Time, announcement Announcement) bool {
	if t.serversByName == nil {
		t.serversByName = map[string]*Server{}
	}
	server, exists := t.serversByName[announcement.Name]
	if !exists {
		t.serversByName[announcement.Name] = &Server{
			Announcement: announcement, LastHeard: now, FirstHeard: now, Hash: xxhash.Sum64String(announcement.Name),
		}
		t.rebuildPools()
		return true
	}
	forgotten := server.State == StateReady && now.Sub(server.LastHeard) > SilenceTimeout
	if !isNewer(announcement, server.Announcement) && !forgotten {
		return false
	}
	if announcement.Incarnation != server.Incarnation {
		server.FirstHeard = now
		server.Failures = 0
		server.EjectedUntil = time.Time{}
	}
	poolsChanged := !slices.Equal(server.Pools, announcement.Pools)
	server.Announcement = announcement
	server.LastHeard = now
	server.OwnAtReport = server.Own
	if poolsChanged {
		t.rebuildPools()
	}
	return true
}

// rebuildPools rebuilds poolsByName from scratch, because servers seldom come, go
// or change their pools.
func (t *Table) rebuildPools() {
	t.poolsByName = map[string]*pool{}
	for _, name := range slices.Sorted(maps.Keys(t.serversByName)) {
		server := t.serversByName[name]
		for _, poolName := range server.Pools {
			if t.poolsByName[poolName] == nil {
				t.poolsByName[poolName] = &pool{}
			}
			t.poolsByName[poolName].servers = append(t.poolsByName[poolName].servers, server)
		}
	}
}

func isNewer(a, b Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Counter > b.Counter
}

// Server returns a server by name. It need not be usable.
func (t *Table) Server(name string) (*Server, bool) {
	server, known := t.serversByName[name]
	return server, known
}

// Usable reports whether the server may get new work: it is ready and was heard
// within SilenceTimeout.
func (s *Server) Usable(now time.Time) bool {
	return s.State == StateReady && now.Sub(s.LastHeard) < SilenceTimeout
}

// UsableInPool returns the usable servers of a pool, sorted by name. The slice is
// valid until the next call for the same pool.
func (t *Table) UsableInPool(now time.Time, name string) []*Server {
	p, known := t.poolsByName[name]
	if !known {
		return nil
	}
	p.usable = p.usable[:0]
	for _, server := range p.servers {
		if server.Usable(now) {
			p.usable = append(p.usable, server)
		}
	}
	return p.usable
}

// UsableAnnouncements returns the latest announcement of each usable server, by
// the server's name.
func (t *Table) UsableAnnouncements(now time.Time) map[string]Announcement {
	announcements := make(map[string]Announcement, len(t.serversByName))
	for name, server := range t.serversByName {
		if server.Usable(now) {
			announcements[name] = server.Announcement
		}
	}
	return announcements
}

// UsablePools returns the names of all pools with a usable server, sorted.
func (t *Table) UsablePools(now time.Time) []string {
	names := map[string]bool{}
	for _, server := range t.serversByName {
		if !server.Usable(now) {
			continue
		}
		for _, pool := range server.Pools {
			names[pool] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// RemoveSilent removes the servers that have been silent for the retention time
// and have no unfinished work from this instance.
func (t *Table) RemoveSilent(now time.Time) {
	const retention = 10 * time.Minute
	before := len(t.serversByName)
	maps.DeleteFunc(t.serversByName, func(_ string, server *Server) bool {
		return now.Sub(server.LastHeard) > retention && server.Own.Requests == 0
	})
	if len(t.serversByName) < before {
		t.rebuildPools()
	}
}
