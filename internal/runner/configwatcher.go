package runner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/authenticator"
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
	// watchTimeout limits one watch call: the time that the answering process may
	// hold it, and a round trip.
	watchTimeout = watcher.HoldTimeout + 2*time.Second
	// watchRetryInterval is the pause after a failed watch.
	watchRetryInterval = 200 * time.Millisecond
	// upstreamsPerDomain is how many instances of a failure domain watch the
	// keepers; the other instances of the domain watch these.
	upstreamsPerDomain = 2
	// upstreamTimeout is how long an instance may go without an answer to a watch
	// before it watches the keepers itself.
	upstreamTimeout = 3 * time.Second
	// catchUpAfter is how long an instance may know of newer configurations before
	// it asks any instance that has one.
	catchUpAfter = 200 * time.Millisecond
	// catchUpTimeout limits such a call, which is answered at once.
	catchUpTimeout = time.Second
)

// configWatcher gets configurations and key revocations by watching the keepers
// or other instances of the failure domain, and serves the instances that watch
// this one. It is safe for concurrent use.
type configWatcher struct {
	settings   loader.Gate
	client     *messenger.Client
	follower   *watcher.Follower
	membership *membership

	mu sync.Mutex
	// lastAnswer is when a watch was last answered, by whichever process.
	lastAnswer       time.Time
	downstreamByName map[string]downstream
}

// downstream is an instance that watches this one.
type downstream struct {
	watcher.DownstreamInstance
	lastQuery time.Time
}

func newConfigWatcher(settings loader.Gate, client *messenger.Client, follower *watcher.Follower, m *membership) *configWatcher {
	return &configWatcher{settings: settings, client: client, follower: follower, membership: m, downstreamByName: map[string]downstream{}}
}

// domainUpstreams returns the instances of this failure domain that watch the
// keepers. Instances with the same membership compute the same result.
func (w *configWatcher) domainUpstreams() []granter.Instance {
	var sameDomain []granter.Instance
	for _, instance := range w.membership.liveInstances() {
		if instance.FailureDomain == w.settings.FailureDomain {
			sameDomain = append(sameDomain, instance)
		}
	}
	ranked := granter.Rank("watch", sameDomain)
	return ranked[:min(upstreamsPerDomain, len(ranked))]
}

// watchesKeepers reports whether this instance should watch the keepers: it is
// one of the domain's upstreams, or no watch has been answered within
// upstreamTimeout.
func (w *configWatcher) watchesKeepers() bool {
	w.mu.Lock()
	upstreamsSilent := time.Since(w.lastAnswer) > upstreamTimeout
	w.mu.Unlock()
	return upstreamsSilent || slices.ContainsFunc(w.domainUpstreams(), func(i granter.Instance) bool { return i.Name == w.settings.Name })
}

// watchKeeper watches one keeper, whenever this instance should, until ctx ends.
func (w *configWatcher) watchKeeper(ctx context.Context, to loader.Keeper) error {
	endpoint := messenger.Endpoint{Name: to.Name, Address: to.Address}
	for ctx.Err() == nil {
		if !w.watchesKeepers() {
			conductor.Sleep(ctx, time.Second)
			continue
		}
		w.watchOnce(ctx, endpoint)
	}
	return nil
}

// watchUpstream watches the domain upstream with index slot until ctx ends. An
// instance that is an upstream itself watches none.
func (w *configWatcher) watchUpstream(ctx context.Context, slot int) error {
	for ctx.Err() == nil {
		upstreams := w.domainUpstreams()
		isUpstream := slices.ContainsFunc(upstreams, func(i granter.Instance) bool { return i.Name == w.settings.Name })
		if isUpstream || slot >= len(upstreams) {
			conductor.Sleep(ctx, time.Second)
			continue
		}
		if endpoint, known := w.membership.endpoint(upstreams[slot].Name); known {
			w.watchOnce(ctx, endpoint)
			continue
		}
		conductor.Sleep(ctx, watchRetryInterval)
	}
	return nil
}

// watchOnce makes one watch call. After a failure it pauses for
// watchRetryInterval.
func (w *configWatcher) watchOnce(ctx context.Context, to messenger.Endpoint) {
	if err := w.watch(ctx, to, watchTimeout); err != nil {
		conductor.Sleep(ctx, watchRetryInterval)
		return
	}
	w.mu.Lock()
	w.lastAnswer = time.Now()
	w.mu.Unlock()
}

// catchUp asks other instances, one after another, for the configuration while
// this one knows that it lacks a newer one, until ctx ends. Watches deliver it
// sooner unless this instance is cut off from the processes that it watches.
func (w *configWatcher) catchUp(ctx context.Context) error {
	outdated := false
	for turn := 0; ctx.Err() == nil; turn++ {
		conductor.Sleep(ctx, watchRetryInterval)
		lag := w.follower.Lag(time.Now())
		own := w.follower.View().Revision
		if isOutdated := lag > authenticator.MaxLag; isOutdated != outdated {
			outdated = isOutdated
			klog.InfoS("configuration known to be outdated: bound workspaces are refused while it is", "outdated", outdated, "revision", own, "lag", lag)
		}
		if lag <= catchUpAfter {
			continue
		}
		newer := slices.DeleteFunc(w.membership.LivePeers(), func(e gossiper.Entry) bool { return e.Revision <= own })
		if len(newer) == 0 {
			continue
		}
		from := newer[turn%len(newer)]
		if err := w.watch(ctx, messenger.Endpoint{Name: from.Name, Address: from.PeerAddress}, catchUpTimeout); err != nil {
			klog.V(2).InfoS("cannot get a newer configuration", "revision", own, "newer", from.Revision, "instance", from.Name, "err", err)
		}
	}
	return nil
}

// watch makes one watch call and applies its answer. After a failure it drops the
// connection.
func (w *configWatcher) watch(ctx context.Context, to messenger.Endpoint, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	update, err := messenger.Call[watcher.Query, watcher.Update](ctx, w.client, to, keeper.MethodWatch, w.query())
	if err != nil {
		w.client.Reset(to)
		return trace.Wrap(err)
	}
	w.membership.recordContact(update)
	w.follower.HearRevision(time.Now(), update.Delta.To)
	w.follower.Apply(update)
	return nil
}

// query builds the next watch query. It reports the instances that watch this
// one, and forgets those that have been silent for gossiper.SilenceTimeout.
func (w *configWatcher) query() watcher.Query {
	query := watcher.Query{Entry: w.membership.self(), Revoked: w.follower.Revoked()}
	query.Entry.Revision = w.follower.View().Revision
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, d := range w.downstreamByName {
		if time.Since(d.lastQuery) > gossiper.SilenceTimeout {
			delete(w.downstreamByName, name)
			continue
		}
		query.Downstream = append(query.Downstream, d.DownstreamInstance)
	}
	return query
}

// serve answers the watch calls of other instances, records their entries, and
// hears of their revisions.
func (w *configWatcher) serve(ctx context.Context, _ certifier.Identity, query watcher.Query) (watcher.Update, error) {
	w.mu.Lock()
	w.downstreamByName[query.Entry.Name] = downstream{
		DownstreamInstance: watcher.DownstreamInstance{Entry: query.Entry, Revoked: query.Revoked}, lastQuery: time.Now(),
	}
	w.mu.Unlock()
	w.follower.HearRevision(time.Now(), query.Entry.Revision)
	return watcher.Await(ctx, w.follower, query), nil
}
