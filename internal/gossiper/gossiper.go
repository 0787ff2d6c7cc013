// Package gossiper maintains the membership table of entry instances: the
// addresses of the other instances, their states, and the free capacity of
// their pools.
//
// Every instance writes only its own [Entry] and gives each update a new version.
// When two instances gossip, each gets the entries that the other has in a newer
// version.
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

const (
	// RoundInterval is the time between two gossip rounds.
	RoundInterval = time.Second
	// SilenceTimeout is how long after its last new entry an instance counts as
	// live.
	SilenceTimeout = 5 * time.Second
	// ForgetAfter is how long after its last new entry an instance is removed from
	// the table. Until then it is still chosen as a gossip partner.
	ForgetAfter = 10 * time.Minute
)

// State is the state that an instance reports of itself.
type State string

const (
	// StateStarting means that the instance does not accept callers yet.
	StateStarting State = "starting"
	// StateReady means that the instance accepts callers.
	StateReady State = "ready"
	// StateDraining means that an operator is draining the instance.
	StateDraining State = "draining"
	// StateStopping means that the instance is shutting down.
	StateStopping State = "stopping"
)

// Entry is what an instance reports of itself. CallerAddress is its address for
// callers, who use HTTPS if CallerTLS is set; PeerAddress is its address for other
// instances. Revision is the configuration that it has applied.
type Entry struct {
	Name          string         `cbor:"n" json:"name"`
	Region        string         `cbor:"r" json:"region"`
	FailureDomain string         `cbor:"f" json:"failure-domain"`
	CallerAddress netip.AddrPort `cbor:"c" json:"public-address"`
	CallerTLS     bool           `cbor:"x" json:"secure"`
	PeerAddress   netip.AddrPort `cbor:"p" json:"peer-address"`
	// Incarnation is the start time of the process, in nanoseconds since the Unix
	// epoch.
	Incarnation int64 `cbor:"i" json:"incarnation"`
	// Sequence grows with every update of the entry within one incarnation.
	Sequence uint64          `cbor:"s" json:"sequence"`
	State    State           `cbor:"t" json:"state"`
	Revision tabler.Revision `cbor:"v" json:"revision"`
	Pools    []PoolSummary   `cbor:"o,omitempty" json:"pools,omitempty"`
}

// PoolSummary is what an instance reports of the backend servers of a pool that
// it serves: their number, how many more requests they can take, and how long a
// new request is expected to wait.
type PoolSummary struct {
	Pool         string        `cbor:"p" json:"pool"`
	Servers      int           `cbor:"s" json:"servers"`
	FreeSlots    int           `cbor:"f" json:"free"`
	ExpectedWait time.Duration `cbor:"d" json:"delay"`
}

// Pool returns the summary of a pool, and false if the instance reports none.
func (e Entry) Pool(name string) (PoolSummary, bool) {
	for _, summary := range e.Pools {
		if summary.Pool == name {
			return summary, true
		}
	}
	return PoolSummary{}, false
}

// supersedes reports whether an entry has a newer version than another of the
// same name.
func (e Entry) supersedes(other Entry) bool {
	if e.Incarnation != other.Incarnation {
		return e.Incarnation > other.Incarnation
	}
	return e.Sequence > other.Sequence
}

// Version is the version of an entry. A later incarnation is newer whatever its
// sequence.
type Version struct {
	Incarnation int64  `cbor:"i"`
	Sequence    uint64 `cbor:"s"`
}

// Member is another instance. LastHeard is when its newest entry arrived,
// directly or through other instances.
type Member struct {
	Entry     Entry
	LastHeard time.Time
}

// Table is the membership table of one instance. It is not safe for concurrent
// use.
type Table struct {
	self    Entry
	members map[string]Member
	// lastContact is when a process of a region last communicated with this
	// instance directly, by region.
	lastContact map[string]time.Time
	rng         *rand.Rand
	regionTurn  int
}

// NewTable returns the table of an instance that knows only itself. The seed
// determines which partners it chooses.
func NewTable(self Entry, seed uint64) *Table {
	return &Table{
		self:        self,
		members:     map[string]Member{},
		lastContact: map[string]time.Time{},
		rng:         rand.New(rand.NewPCG(seed, 0)),
	}
}

// UpdateSelf applies a change to this instance's own entry, increments its
// sequence and returns it.
func (t *Table) UpdateSelf(change func(*Entry)) Entry {
	change(&t.self)
	t.self.Sequence++
	return t.self
}

// SelfEntry returns this instance's own entry.
func (t *Table) SelfEntry() Entry {
	return t.self
}

// Merge adds the entries that are newer than those in the table. It ignores
// entries of this instance and entries without a name, and removes the members
// that were last heard longer than ForgetAfter ago.
func (t *Table) Merge(now time.Time, entries []Entry) {
	for _, entry := range entries {
		if entry.Name == t.self.Name || entry.Name == "" {
			continue
		}
		known, exists := t.members[entry.Name]
		if !exists || entry.supersedes(known.Entry) {
			t.members[entry.Name] = Member{Entry: entry, LastHeard: now}
		}
	}
	maps.DeleteFunc(t.members, func(_ string, member Member) bool { return now.Sub(member.LastHeard) > ForgetAfter })
}

// RecordContact records that a process of a region communicated with this
// instance directly.
func (t *Table) RecordContact(now time.Time, region string) {
	t.lastContact[region] = now
}

// ContactAge returns the time since the last recorded contact with a region, and
// false if there was none.
func (t *Table) ContactAge(now time.Time, region string) (time.Duration, bool) {
	last, known := t.lastContact[region]
	return now.Sub(last), known
}

// Digest returns the versions of the entries of all other live instances, by
// name.
func (t *Table) Digest(now time.Time) map[string]Version {
	digest := map[string]Version{}
	for name, member := range t.members {
		if now.Sub(member.LastHeard) <= SilenceTimeout {
			digest[name] = Version{Incarnation: member.Entry.Incarnation, Sequence: member.Entry.Sequence}
		}
	}
	return digest
}

// NewerThan returns this instance's own entry, followed by the entries of live
// instances that are missing from the digest or newer than in it.
func (t *Table) NewerThan(now time.Time, digest map[string]Version) []Entry {
	entries := []Entry{t.self}
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		member := t.members[name]
		digested := Entry{Incarnation: digest[name].Incarnation, Sequence: digest[name].Sequence}
		if now.Sub(member.LastHeard) <= SilenceTimeout && member.Entry.supersedes(digested) {
			entries = append(entries, member.Entry)
		}
	}
	return entries
}

// Live returns the entries of the other instances that were last heard within
// SilenceTimeout, sorted by name.
func (t *Table) Live(now time.Time) []Entry {
	var entries []Entry
	for _, member := range t.members {
		if now.Sub(member.LastHeard) <= SilenceTimeout {
			entries = append(entries, member.Entry)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	return entries
}

// Partners chooses the instances to gossip with in this round: a random one of
// this instance's region, and a random one of another region. The other regions
// take turns.
func (t *Table) Partners(now time.Time) []Entry {
	var sameRegion []Entry
	otherRegions := map[string][]Entry{}
	for _, entry := range t.knownEntries(now) {
		if entry.Region == t.self.Region {
			sameRegion = append(sameRegion, entry)
			continue
		}
		otherRegions[entry.Region] = append(otherRegions[entry.Region], entry)
	}
	var partners []Entry
	if len(sameRegion) > 0 {
		partners = append(partners, sameRegion[t.rng.IntN(len(sameRegion))])
	}
	regions := slices.Sorted(maps.Keys(otherRegions))
	if len(regions) > 0 {
		t.regionTurn++
		members := otherRegions[regions[t.regionTurn%len(regions)]]
		partners = append(partners, members[t.rng.IntN(len(members))])
	}
	return partners
}

// knownEntries returns the entries of the instances that were last heard within
// ForgetAfter. Silent instances are included, so that gossip resumes after a
// network partition.
func (t *Table) knownEntries(now time.Time) []Entry {
	var entries []Entry
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		if now.Sub(t.members[name].LastHeard) <= ForgetAfter {
			entries = append(entries, t.members[name].Entry)
		}
	}
	return entries
}
