// Package watcher brings accepted configurations from the keepers to every
// entry instance, and withdrawals of keys ahead of them.
//
// The one idea: a [Follower] takes in deltas from any number of upstreams and
// keeps the newest; it serves the same deltas downstream. Instances near the
// keepers follow them, the others follow those, so that the keepers' traffic
// does not grow with the fleet.
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

// Hold is how long a watch waits for news before it is answered empty.
const Hold = 2 * time.Second

// Query asks for what a follower lacks.
type Query struct {
	// Entry is the asker. Its revision is what it has in force.
	Entry gossiper.Entry `cbor:"e"`
	// Revoked are the withdrawals ahead of the log that the asker has seen.
	Revoked []string `cbor:"w,omitempty"`
	// Behind are the instances that follow the asker.
	Behind []Behind `cbor:"b,omitempty"`
}

// Behind tells of an instance that follows another.
type Behind struct {
	Entry   gossiper.Entry `cbor:"e"`
	Revoked []string       `cbor:"w,omitempty"`
}

// News answers a query.
type News struct {
	Delta tabler.Delta `cbor:"d,omitzero"`
	// Revoked are keys withdrawn before a quorum has accepted it.
	Revoked []string `cbor:"w,omitempty"`
	// Region is where the answering process runs.
	Region string `cbor:"r"`
	// Vouched are regions without keepers that a quorum stands in for.
	Vouched []string `cbor:"v,omitempty"`
}

// Source is a state that can be followed.
type Source interface {
	// News returns what an asker lacks and whether that is anything.
	News(query Query) (News, bool)
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Await answers a query as soon as there is news, or empty after Hold.
func Await(ctx context.Context, source Source, query Query) News {
	ctx, cancel := context.WithTimeout(ctx, Hold)
	defer cancel()
	for {
		changed := source.Changed()
		news, fresh := source.News(query)
		if fresh {
			return news
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return news
		}
	}
}

// Follower holds the newest configuration that an instance has learnt.
type Follower struct {
	region string
	view   atomic.Pointer[tabler.View]

	mu      sync.Mutex
	state   tabler.State
	revoked []string
	changed chan struct{}
}

// NewFollower returns a follower that knows nothing yet.
func NewFollower(region string) *Follower {
	f := &Follower{region: region, changed: make(chan struct{})}
	f.view.Store(tabler.NewView(&f.state))
	return f
}

// View returns the newest configuration.
func (f *Follower) View() *tabler.View {
	return f.view.Load()
}

// Take takes news in. Older configurations are ignored: what is in force
// never reverts. It reports whether anything changed.
func (f *Follower) Take(news News) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	moved := f.state.Follow(news.Delta)
	if moved {
		f.dropCarried(news.Delta.Keys)
	}
	added := f.addRevoked(news.Revoked)
	if !moved && !added {
		return false
	}
	f.state.Revoke(f.revoked)
	f.view.Store(tabler.NewView(&f.state))
	close(f.changed)
	f.changed = make(chan struct{})
	return true
}

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

// dropCarried forgets withdrawals that the log carries now.
func (f *Follower) dropCarried(keys []tabler.Key) {
	for _, key := range keys {
		if key.Withdrawn {
			f.revoked = slices.DeleteFunc(f.revoked, func(id string) bool { return id == key.ID })
		}
	}
}

// Revoked returns the withdrawals heard ahead of the log that the log does
// not yet carry.
func (f *Follower) Revoked() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.revoked)
}

// News implements Source for the instances downstream.
func (f *Follower) News(query Query) (News, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	news := News{Region: f.region}
	fresh := false
	if query.Entry.Revision < f.state.Revision {
		news.Delta = f.state.Delta(query.Entry.Revision)
		fresh = true
	}
	for _, id := range f.revoked {
		if !slices.Contains(query.Revoked, id) {
			news.Revoked = append(news.Revoked, id)
			fresh = true
		}
	}
	return news, fresh
}

// Changed implements Source.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}
