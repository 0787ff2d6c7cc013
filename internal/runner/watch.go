package runner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/gossiper"
	"github.com/boragehead/boragehead/internal/granter"
	"github.com/boragehead/boragehead/internal/keeper"
	"github.com/boragehead/boragehead/internal/loader"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/watcher"
)

const (
	// watchTimeout bounds one watch: the hold and a round trip.
	watchTimeout = watcher.HoldTimeout + 2*time.Second
	// watchPause is the pause after a watch that failed.
	watchPause = 200 * time.Millisecond
	// leadsPerDomain is how many instances of a failure domain follow the
	// keepers for all of it.
	leadsPerDomain = 2
	// followedSilence is how long an instance waits for those it follows
	// before it asks the keepers itself.
	followedSilence = 3 * time.Second
)

// watch follows the keepers, or the instances near them.
type watch struct {
	settings loader.Gate
	client   *messenger.Client
	follower *watcher.Follower
	fleet    *fleet

	mu     sync.Mutex
	heard  time.Time
	behind map[string]behind
}

// behind is an instance that follows this one.
type behind struct {
	watcher.DownstreamInstance
	heard time.Time
}

func newWatch(settings loader.Gate, client *messenger.Client, follower *watcher.Follower, f *fleet) *watch {
	return &watch{settings: settings, client: client, follower: follower, fleet: f, behind: map[string]behind{}}
}

// leads returns the instances of this failure domain that follow the keepers
// for all of it.
func (w *watch) leads() []granter.Instance {
	var near []granter.Instance
	for _, instance := range w.fleet.instances() {
		if instance.FailureDomain == w.settings.FailureDomain {
			near = append(near, instance)
		}
	}
	ranked := granter.Rank("watch", near)
	return ranked[:min(leadsPerDomain, len(ranked))]
}

// direct reports whether this instance follows the keepers itself.
func (w *watch) direct() bool {
	w.mu.Lock()
	silent := time.Since(w.heard) > followedSilence
	w.mu.Unlock()
	return silent || slices.ContainsFunc(w.leads(), func(i granter.Instance) bool { return i.Name == w.settings.Name })
}

// followKeeper is the duty of following one keeper.
func (w *watch) followKeeper(ctx context.Context, to loader.Keeper) error {
	endpoint := messenger.Endpoint{Name: to.Name, Address: to.Address}
	for ctx.Err() == nil {
		if !w.direct() {
			conductor.Pause(ctx, time.Second)
			continue
		}
		w.ask(ctx, endpoint)
	}
	return nil
}

// followLead is the duty of following one of the domain's leads.
func (w *watch) followLead(ctx context.Context, slot int) error {
	for ctx.Err() == nil {
		leads := w.leads()
		self := slices.ContainsFunc(leads, func(i granter.Instance) bool { return i.Name == w.settings.Name })
		if self || slot >= len(leads) {
			conductor.Pause(ctx, time.Second)
			continue
		}
		if endpoint, known := w.fleet.find(leads[slot].Name); known {
			w.ask(ctx, endpoint)
			continue
		}
		conductor.Pause(ctx, watchPause)
	}
	return nil
}

// ask makes one watch.
func (w *watch) ask(ctx context.Context, to messenger.Endpoint) {
	call, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	news, err := messenger.Call[watcher.Query, watcher.News](call, w.client, to, keeper.MethodWatch, w.query())
	if err != nil {
		w.client.Reset(to)
		conductor.Pause(ctx, watchPause)
		return
	}
	w.mu.Lock()
	w.heard = time.Now()
	w.mu.Unlock()
	w.fleet.contact(news)
	w.follower.Apply(news)
}

func (w *watch) query() watcher.Query {
	query := watcher.Query{Entry: w.fleet.own(), Revoked: w.follower.Revoked()}
	query.Entry.Revision = w.follower.View().Revision
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, b := range w.behind {
		if time.Since(b.heard) > gossiper.SilenceTimeout {
			delete(w.behind, name)
			continue
		}
		query.Behind = append(query.Behind, b.DownstreamInstance)
	}
	return query
}

// serve answers the instances that follow this one.
func (w *watch) serve(ctx context.Context, _ certifier.Identity, query watcher.Query) (watcher.News, error) {
	w.mu.Lock()
	w.behind[query.Entry.Name] = behind{
		DownstreamInstance: watcher.DownstreamInstance{Entry: query.Entry, Revoked: query.Revoked}, heard: time.Now(),
	}
	w.mu.Unlock()
	return watcher.Await(ctx, w.follower, query), nil
}
