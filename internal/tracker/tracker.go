// Package tracker knows the backend servers of one failure domain from their
// own announcements. Nothing else lists them: a server that is silent for
// three periods is gone, and one that says it is leaving gets no new work.
package tracker

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Times of announcements.
const (
	// Period is the time between two announcements of a server.
	Period = time.Second
	// Silence is how long a server may be unheard and still be used.
	Silence = 3 * Period
)

// State is what a server says of itself.
type State string

// The states.
const (
	StateReady   State = "ready"
	StateLeaving State = "leaving"
)

// Announcement is what a server says of itself.
type Announcement struct {
	// Name is unique among the servers of the failure domain.
	Name    string
	Address netip.AddrPort
	Pools   []string
	Models  []string
	State   State
	// Incarnation and Counter order the announcements of a server; late
	// ones are dropped.
	Incarnation int64
	Counter     uint64
	// MaxRunning is how many requests the server batches at once.
	MaxRunning int
	Load       Load
	// ChecksFencing tells whether the server refuses an order that carries
	// an old fencing number.
	ChecksFencing bool
}

// Load is what a server reports of its work, with a lag.
type Load struct {
	Running int
	Waiting int
	// Tokens is the work that remains, in tokens.
	Tokens int64
}

// Server is a server with what this instance knows of it.
type Server struct {
	Announcement
	Heard time.Time
	// Own is this instance's work under way; OwnAtReport is what it was when
	// the server last reported.
	Own         Work
	OwnAtReport Work
	// Speed is the tokens per second seen of one request, averaged.
	Speed float64
	// Failures in a row, and until when the server is ejected for them.
	Failures     int
	EjectedUntil time.Time
	// Hash is of the name, for rendezvous hashing.
	Hash uint64
	// Since is when the server was first heard in this incarnation.
	Since time.Time
}

// Work is an amount of work under way.
type Work struct {
	Requests int
	Tokens   int64
	// Prefill is the part of the prompts that is still to be read, in
	// tokens. Only an instance's own is known.
	Prefill int64
}

// Others returns the work that the server has of other instances, by its own
// lagging report.
func (s *Server) Others() Work {
	requests := s.Load.Running + s.Load.Waiting - s.OwnAtReport.Requests
	tokens := s.Load.Tokens - s.OwnAtReport.Tokens
	return Work{Requests: max(requests, 0), Tokens: max(tokens, 0)}
}

// Free returns how many more requests the server can batch.
func (s *Server) Free() int {
	return max(s.MaxRunning-s.Own.Requests-s.Others().Requests, 0)
}

// Table holds the servers of a failure domain. The zero value is empty. It is
// not safe for concurrent use.
type Table struct {
	servers map[string]*Server
	// pools holds the servers of each pool, sorted by name, and a buffer for
	// those that are usable.
	pools map[string]*pool
}

// pool is the servers that announce a pool.
type pool struct {
	servers []*Server
	usable  []*Server
}

// Announce takes an announcement in. It reports false for one that is older
// than what is known.
func (t *Table) Announce(now time.Time, announcement Announcement) bool {
	if t.servers == nil {
		t.servers = map[string]*Server{}
	}
	known, exists := t.servers[announcement.Name]
	if !exists {
		t.servers[announcement.Name] = &Server{
			Announcement: announcement, Heard: now, Since: now, Hash: xxhash.Sum64String(announcement.Name),
		}
		t.index()
		return true
	}
	if !newer(announcement, known.Announcement) {
		return false
	}
	if announcement.Incarnation != known.Incarnation {
		known.Since = now
		known.Failures = 0
		known.EjectedUntil = time.Time{}
	}
	moved := !slices.Equal(known.Pools, announcement.Pools)
	known.Announcement = announcement
	known.Heard = now
	known.OwnAtReport = known.Own
	if moved {
		t.index()
	}
	return true
}

// index rebuilds the pools; servers come, go and move seldom.
func (t *Table) index() {
	t.pools = map[string]*pool{}
	for _, name := range slices.Sorted(maps.Keys(t.servers)) {
		server := t.servers[name]
		for _, in := range server.Pools {
			if t.pools[in] == nil {
				t.pools[in] = &pool{}
			}
			t.pools[in].servers = append(t.pools[in].servers, server)
		}
	}
}

func newer(a, b Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Counter > b.Counter
}

// Server returns a server by name, silent or not.
func (t *Table) Server(name string) (*Server, bool) {
	server, known := t.servers[name]
	return server, known
}

// Usable reports whether a server may get new work.
func (s *Server) Usable(now time.Time) bool {
	return s.State == StateReady && now.Sub(s.Heard) < Silence
}

// InPool returns the usable servers of a pool, sorted by name. The slice is
// valid until the next call for the same pool.
func (t *Table) InPool(now time.Time, name string) []*Server {
	p, known := t.pools[name]
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

// Announced returns what the usable servers said last, by name.
func (t *Table) Announced(now time.Time) map[string]Announcement {
	announced := make(map[string]Announcement, len(t.servers))
	for name, server := range t.servers {
		if server.Usable(now) {
			announced[name] = server.Announcement
		}
	}
	return announced
}

// Pools returns the names of all pools that a usable server serves, sorted.
func (t *Table) Pools(now time.Time) []string {
	names := map[string]bool{}
	for _, server := range t.servers {
		if !server.Usable(now) {
			continue
		}
		for _, pool := range server.Pools {
			names[pool] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// Forget drops servers that have been silent for long and have no work here.
func (t *Table) Forget(now time.Time) {
	const memory = 10 * time.Minute
	before := len(t.servers)
	maps.DeleteFunc(t.servers, func(_ string, server *Server) bool {
		return now.Sub(server.Heard) > memory && server.Own.Requests == 0
	})
	if len(t.servers) < before {
		t.index()
	}
}
