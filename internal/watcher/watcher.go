// Package watcher distributes committed configurations from the keepers to every
// entry instance, and key revocations before they are committed.
//
// A [Follower] merges deltas from any number of upstreams into the newest
// configuration and serves deltas of it to downstream instances. Some instances
// watch the keepers and the others watch these, so that the traffic of the
// keepers does not grow with the fleet.
package watcher

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/boragehead/boragehead/internal/gossiper"
	"github.com/boragehead/boragehead/internal/tabler"
)

// HoldTimeout is how long a watch call is held open while there is nothing new to
// answer it with.
const HoldTimeout = 2 * time.Second

// Query is a watch call. It asks for everything that the caller does not have.
type Query struct {
	// Entry is the caller's own entry. Its revision is that of the caller's
	// configuration.
	Entry gossiper.Entry `cbor:"e"`
	// Revoked are the IDs of the keys that the caller knows to be revoked though
	// its configuration does not yet say so.
	Revoked []string `cbor:"w,omitempty"`
	// Downstream are the instances that watch the caller.
	Downstream []DownstreamInstance `cbor:"b,omitempty"`
}

// DownstreamInstance is an instance that watches the sender of a Query, with the
// entry and the revoked keys of its own last Query.
type DownstreamInstance struct {
	Entry   gossiper.Entry `cbor:"e"`
	Revoked []string       `cbor:"w,omitempty"`
}

// Update is the answer to a Query.
type Update struct {
	Delta tabler.Delta `cbor:"d,omitzero"`
	// Revoked are the IDs of the keys whose withdrawal no quorum may have accepted
	// yet.
	Revoked []string `cbor:"w,omitempty"`
	// Region is the region of the answering process.
	Region string `cbor:"r"`
	// KeeperlessRegions are the regions that have no keepers, while the answering
	// keeper is in contact with a quorum. The answer then counts as contact with
	// these regions, because withdrawals made there pass through the quorum.
	KeeperlessRegions []string `cbor:"v,omitempty"`
}

// Source is a configuration that can be watched.
type Source interface {
	// UpdateFor returns what the caller of a watch does not have, and false if that
	// is nothing.
	UpdateFor(query Query) (Update, bool)
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Await returns the answer to a query as soon as there is something new for the
// caller, or without anything new when HoldTimeout has passed or ctx has ended.
func Await(ctx context.Context, source Source, query Query) Update {
	ctx, cancel := context.WithTimeout(ctx, HoldTimeout)
	defer cancel()
	for {
		changed := source.Changed()
		update, fresh := source.UpdateFor(query)
		if fresh {
			return update
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return update
		}
	}
}

// Follower holds the newest configuration and the key revocations that an
// instance has received. It is safe for concurrent use.
type Follower struct {
	region string
	view   atomic.Pointer[tabler.View]

	mu      sync.Mutex
	state   tabler.State
	revoked []string
	changed chan struct{}

	// lagMu is separate from mu, which is held while a view is built.
	lagMu sync.Mutex
	lag   lagTracker
}

// NewFollower returns a follower with an empty configuration. The region is that
// of its instance.
func NewFollower(region string) *Follower {
	f := &Follower{region: region, changed: make(chan struct{})}
	f.view.Store(tabler.NewView(&f.state))
	return f
}

// View returns the newest configuration. It does not block.
func (f *Follower) View() *tabler.View {
	return f.view.Load()
}

// HearRevision records that a revision exists, whether this instance has it or not.
func (f *Follower) HearRevision(now time.Time, revision tabler.Revision) {
	f.lagMu.Lock()
	defer f.lagMu.Unlock()
	f.lag.hear(now, f.View().Revision, revision)
}

// Lag returns for how long this instance has known that its configuration is not
// the newest, or 0 if it knows of no newer one.
func (f *Follower) Lag(now time.Time) time.Duration {
	f.lagMu.Lock()
	defer f.lagMu.Unlock()
	return f.lag.lag(now, f.View().Revision)
}

// Apply applies an update and reports whether anything changed. Older
// configurations are ignored, so that the configuration never reverts.
func (f *Follower) Apply(update Update) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	advanced := f.state.ApplyDelta(update.Delta)
	if advanced {
		f.dropReplicatedRevocations(update.Delta.Keys)
	}
	added := f.addRevoked(update.Revoked)
	if !advanced && !added {
		return false
	}
	f.state.MarkWithdrawn(f.revoked)
	f.view.Store(tabler.NewView(&f.state))
	close(f.changed)
	f.changed = make(chan struct{})
	return true
}

// addRevoked adds key IDs to the revoked ones and reports whether any was new.
// f.mu must be held.
func (f *Follower) addRevoked(ids []string) bool {
	added := false
	for _, id := range ids {
		if slices.Contains(f.revoked, id) {
			continue
		}
		f.revoked = append(f.revoked, id)
		added = true
	}
	return added
}

// dropReplicatedRevocations removes the revocations that the configuration now
// contains. f.mu must be held.
func (f *Follower) dropReplicatedRevocations(keys []tabler.Key) {
	for _, key := range keys {
		if key.Withdrawn {
			f.revoked = slices.DeleteFunc(f.revoked, func(id string) bool { return id == key.ID })
		}
	}
}

// Revoked returns the IDs of the keys that are known to be revoked though the
// configuration does not yet say so.
func (f *Follower) Revoked() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.revoked)
}

// UpdateFor implements Source for downstream instances.
func (f *Follower) UpdateFor(query Query) (Update, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	update := Update{Region: f.region}
	fresh := false
	if query.Entry.Revision < f.state.Revision {
		update.Delta = f.state.Delta(query.Entry.Revision)
		fresh = true
	}
	for _, id := range f.revoked {
		if !slices.Contains(query.Revoked, id) {
			update.Revoked = append(update.Revoked, id)
			fresh = true
		}
	}
	return update, fresh
}

// Changed implements Source.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}
