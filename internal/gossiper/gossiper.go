// Package gossiper keeps each entry instance informed of the others: where
// they are, whether they take work, and how much room their pools have.
//
// The one idea: every instance writes only its own [Entry] and numbers it;
// an exchange of two instances leaves both with the newer of each entry.
package gossiper

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/boragehead/boragehead/internal/tabler"
)

// Times of membership.
const (
	// Interval is the time between two rounds of exchanges.
	Interval = time.Second
	// Silence is how long an instance may be unheard and still be used.
	Silence = 5 * time.Second
	// Forgotten is how long a silent instance is remembered for reports.
	Forgotten = 10 * time.Minute
)

// State is what an instance says of itself.
type State string

// The states.
const (
	StateStarting State = "starting"
	StateReady    State = "ready"
	StateDraining State = "draining"
	StateStopping State = "stopping"
)

// Entry is what an instance says of itself.
type Entry struct {
	Name          string         `cbor:"n" json:"name"`
	Region        string         `cbor:"r" json:"region"`
	FailureDomain string         `cbor:"f" json:"failure-domain"`
	Public        netip.AddrPort `cbor:"c" json:"public-address"`
	Secure        bool           `cbor:"x" json:"secure"`
	Peer          netip.AddrPort `cbor:"p" json:"peer-address"`
	// Incarnation is the start time of the process, in nanoseconds.
	Incarnation int64           `cbor:"i" json:"incarnation"`
	Sequence    uint64          `cbor:"s" json:"sequence"`
	State       State           `cbor:"t" json:"state"`
	Revision    tabler.Revision `cbor:"v" json:"revision"`
	Pools       []PoolSummary   `cbor:"o,omitempty" json:"pools,omitempty"`
}

// PoolSummary is what other failure domains learn of a pool.
type PoolSummary struct {
	Pool    string        `cbor:"p" json:"pool"`
	Servers int           `cbor:"s" json:"servers"`
	Free    int           `cbor:"f" json:"free"`
	Delay   time.Duration `cbor:"d" json:"delay"`
}

// Pool returns the summary of a pool.
func (e Entry) Pool(name string) (PoolSummary, bool) {
	for _, summary := range e.Pools {
		if summary.Pool == name {
			return summary, true
		}
	}
	return PoolSummary{}, false
}

// newer reports whether an entry replaces another of the same name.
func (e Entry) newer(other Entry) bool {
	if e.Incarnation != other.Incarnation {
		return e.Incarnation > other.Incarnation
	}
	return e.Sequence > other.Sequence
}

// Version numbers an entry in a digest.
type Version struct {
	Incarnation int64  `cbor:"i"`
	Sequence    uint64 `cbor:"s"`
}

// Member is another instance with when it was last heard of.
type Member struct {
	Entry Entry
	Heard time.Time
}

// Table is the membership as one instance sees it. It is not safe for
// concurrent use.
type Table struct {
	self    Entry
	members map[string]Member
	// contacts is when a process of a region last spoke to this instance
	// directly.
	contacts map[string]time.Time
	random   *rand.Rand
	turn     int
}

// NewTable returns the membership of an instance that knows only itself.
func NewTable(self Entry, seed uint64) *Table {
	return &Table{
		self:     self,
		members:  map[string]Member{},
		contacts: map[string]time.Time{},
		random:   rand.New(rand.NewPCG(seed, 0)),
	}
}

// Self changes this instance's own entry and numbers it anew.
func (t *Table) Self(change func(*Entry)) Entry {
	change(&t.self)
	t.self.Sequence++
	return t.self
}

// Own returns this instance's entry.
func (t *Table) Own() Entry {
	return t.self
}

// Merge takes entries in and keeps the newer of each.
func (t *Table) Merge(now time.Time, entries []Entry) {
	for _, entry := range entries {
		if entry.Name == t.self.Name || entry.Name == "" {
			continue
		}
		known, exists := t.members[entry.Name]
		if !exists || entry.newer(known.Entry) {
			t.members[entry.Name] = Member{Entry: entry, Heard: now}
		}
	}
	maps.DeleteFunc(t.members, func(_ string, member Member) bool { return now.Sub(member.Heard) > Forgotten })
}

// Contact notes that a process of a region spoke to this instance directly.
func (t *Table) Contact(now time.Time, region string) {
	t.contacts[region] = now
}

// Contacted returns how long ago a process of a region was heard directly.
func (t *Table) Contacted(now time.Time, region string) (time.Duration, bool) {
	heard, known := t.contacts[region]
	return now.Sub(heard), known
}

// Digest returns the versions of all live entries.
func (t *Table) Digest(now time.Time) map[string]Version {
	digest := map[string]Version{}
	for name, member := range t.members {
		if now.Sub(member.Heard) <= Silence {
			digest[name] = Version{Incarnation: member.Entry.Incarnation, Sequence: member.Entry.Sequence}
		}
	}
	return digest
}

// Newer returns the live entries that a digest lacks or has older, the own
// entry included.
func (t *Table) Newer(now time.Time, digest map[string]Version) []Entry {
	entries := []Entry{t.self}
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		member := t.members[name]
		has := Entry{Incarnation: digest[name].Incarnation, Sequence: digest[name].Sequence}
		if now.Sub(member.Heard) <= Silence && member.Entry.newer(has) {
			entries = append(entries, member.Entry)
		}
	}
	return entries
}

// Live returns the other instances heard of lately, sorted by name.
func (t *Table) Live(now time.Time) []Entry {
	var entries []Entry
	for _, member := range t.members {
		if now.Sub(member.Heard) <= Silence {
			entries = append(entries, member.Entry)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	return entries
}

// Partners chooses whom to exchange with in this round: one instance of the
// own region, and one of another region in turn.
func (t *Table) Partners(now time.Time) []Entry {
	var near []Entry
	far := map[string][]Entry{}
	for _, entry := range t.remembered(now) {
		if entry.Region == t.self.Region {
			near = append(near, entry)
			continue
		}
		far[entry.Region] = append(far[entry.Region], entry)
	}
	var partners []Entry
	if len(near) > 0 {
		partners = append(partners, near[t.random.IntN(len(near))])
	}
	regions := slices.Sorted(maps.Keys(far))
	if len(regions) > 0 {
		t.turn++
		members := far[regions[t.turn%len(regions)]]
		partners = append(partners, members[t.random.IntN(len(members))])
	}
	return partners
}

// remembered includes silent instances: after a cut they are tried again.
func (t *Table) remembered(now time.Time) []Entry {
	var entries []Entry
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		if now.Sub(t.members[name].Heard) <= Forgotten {
			entries = append(entries, t.members[name].Entry)
		}
	}
	return entries
}
