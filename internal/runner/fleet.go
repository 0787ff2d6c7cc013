package runner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/director"
	"github.com/boragehead/boragehead/internal/dispatcher"
	"github.com/boragehead/boragehead/internal/gossiper"
	"github.com/boragehead/boragehead/internal/granter"
	"github.com/boragehead/boragehead/internal/loader"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/watcher"
)

const (
	methodGossip = "gossip"
	// exchangeTimeout bounds one exchange between two instances.
	exchangeTimeout = 2 * time.Second
)

// gossipQuery is one side of an exchange.
type gossipQuery struct {
	Self    gossiper.Entry              `cbor:"e"`
	Digest  map[string]gossiper.Version `cbor:"d"`
	Revoked []string                    `cbor:"w,omitempty"`
}

// gossipAnswer is the other side.
type gossipAnswer struct {
	Entries []gossiper.Entry `cbor:"e"`
	Revoked []string         `cbor:"w,omitempty"`
}

// fleet is the membership as one entry instance sees it.
type fleet struct {
	settings   loader.Gate
	client     *messenger.Client
	follower   *watcher.Follower
	dispatcher *dispatcher.Dispatcher

	mu      sync.Mutex
	table   *gossiper.Table
	vouched map[string]time.Time
}

func newFleet(settings loader.Gate, client *messenger.Client, follower *watcher.Follower, d *dispatcher.Dispatcher) *fleet {
	now := time.Now()
	self := gossiper.Entry{
		Name: settings.Name, Region: settings.Region, FailureDomain: settings.FailureDomain,
		Public: settings.Public(), Secure: settings.CallerTLS != nil, Peer: settings.PeerAddress,
		Incarnation: now.UnixNano(), State: gossiper.StateStarting,
	}
	return &fleet{
		settings: settings, client: client, follower: follower, dispatcher: d,
		table: gossiper.NewTable(self, uint64(now.UnixNano())), vouched: map[string]time.Time{},
	}
}

// run exchanges with a few others in every round.
func (f *fleet) run(ctx context.Context) error {
	ticker := time.NewTicker(gossiper.RoundInterval)
	defer ticker.Stop()
	for {
		f.round(ctx, f.partners())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// ready puts this instance into the directory.
func (f *fleet) ready() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.UpdateSelf(func(entry *gossiper.Entry) {
		if entry.State == gossiper.StateStarting {
			entry.State = gossiper.StateReady
		}
	})
}

// announce tells all live instances at once, as before a shutdown.
func (f *fleet) announce(ctx context.Context, state gossiper.State) {
	f.mu.Lock()
	f.table.UpdateSelf(func(entry *gossiper.Entry) { entry.State = state })
	live := f.table.Live(time.Now())
	f.mu.Unlock()
	f.round(ctx, endpointsOf(live))
}

func (f *fleet) round(ctx context.Context, partners []messenger.Endpoint) {
	f.refresh()
	var wait sync.WaitGroup
	for _, partner := range partners {
		wait.Go(func() { f.exchange(ctx, partner) })
	}
	wait.Wait()
}

// refresh brings this instance's own entry up to date.
func (f *fleet) refresh() {
	view := f.follower.View()
	summary := f.dispatcher.Summary()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.UpdateSelf(func(entry *gossiper.Entry) {
		entry.Revision = view.Revision
		entry.Pools = summary
		if entry.State == gossiper.StateStopping || entry.State == gossiper.StateStarting {
			return
		}
		entry.State = gossiper.StateReady
		if view.Draining(entry.Name) {
			entry.State = gossiper.StateDraining
		}
	})
}

// partners returns whom to exchange with; before anyone is known, the peers
// that the settings name.
func (f *fleet) partners() []messenger.Endpoint {
	f.mu.Lock()
	partners := endpointsOf(f.table.Partners(time.Now()))
	f.mu.Unlock()
	if len(partners) > 1 {
		return partners
	}
	for _, peer := range f.settings.Peers {
		endpoint := messenger.Endpoint{Name: peer.Name, Address: peer.Address}
		if peer.Name != f.settings.Name && !slices.Contains(partners, endpoint) {
			partners = append(partners, endpoint)
		}
	}
	return partners
}

func endpointsOf(entries []gossiper.Entry) []messenger.Endpoint {
	var endpoints []messenger.Endpoint
	for _, entry := range entries {
		endpoints = append(endpoints, messenger.Endpoint{Name: entry.Name, Address: entry.Peer})
	}
	return endpoints
}

func (f *fleet) exchange(ctx context.Context, to messenger.Endpoint) {
	now := time.Now()
	f.mu.Lock()
	query := gossipQuery{Self: f.table.SelfEntry(), Digest: f.table.Digest(now)}
	f.mu.Unlock()
	query.Revoked = f.follower.Revoked()
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := messenger.Call[gossipQuery, gossipAnswer](ctx, f.client, to, methodGossip, query)
	if err != nil {
		klog.V(4).InfoS("exchange failed", "peer", to.Name, "err", err)
		f.client.Reset(to)
		return
	}
	f.take(answer.Entries, answer.Revoked)
}

// take merges what another instance said. Its first entry is its own: that it
// spoke is contact with its region.
func (f *fleet) take(entries []gossiper.Entry, revoked []string) {
	if len(revoked) > 0 {
		f.follower.Apply(watcher.News{Revoked: revoked})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.table.Merge(now, entries)
	if len(entries) > 0 {
		f.table.RecordContact(now, entries[0].Region)
	}
}

func (f *fleet) serveGossip(_ context.Context, from certifier.Identity, query gossipQuery) (gossipAnswer, error) {
	if from.Name != query.Self.Name {
		return gossipAnswer{}, trace.AccessDenied("%q may not speak for %q", from.Name, query.Self.Name)
	}
	f.take([]gossiper.Entry{query.Self}, query.Revoked)
	f.mu.Lock()
	defer f.mu.Unlock()
	return gossipAnswer{Entries: f.table.NewerThan(time.Now(), query.Digest), Revoked: f.follower.Revoked()}, nil
}

// contact notes that a keeper answered, and for which regions it vouches.
func (f *fleet) contact(news watcher.News) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.table.RecordContact(now, news.Region)
	for _, region := range news.Vouched {
		f.vouched[region] = now
	}
}

// Contacted implements authenticator.Contacts.
func (f *fleet) Contacted(region string) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	age, known := f.table.ContactAge(now, region)
	if vouched, ok := f.vouched[region]; ok && (!known || now.Sub(vouched) < age) {
		return now.Sub(vouched), true
	}
	return age, known
}

// own returns this instance's entry.
func (f *fleet) own() gossiper.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.SelfEntry()
}

// Live implements router.Fleet.
func (f *fleet) Live() []gossiper.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Live(time.Now())
}

// All implements director.Fleet.
func (f *fleet) All() []gossiper.Entry {
	return append(f.Live(), f.own())
}

// Summary implements router.Fleet.
func (f *fleet) Summary() []gossiper.PoolSummary {
	return f.dispatcher.Summary()
}

// Ready implements router.Fleet.
func (f *fleet) Ready(region, workspace string) []string {
	var urls []string
	for _, entry := range director.Order(workspace, region, f.settings.Region, f.All()) {
		urls = append(urls, director.URL(entry))
	}
	return urls
}

// find returns how an instance is reached.
func (f *fleet) find(name string) (messenger.Endpoint, bool) {
	for _, entry := range f.Live() {
		if entry.Name == name {
			return messenger.Endpoint{Name: entry.Name, Address: entry.Peer}, true
		}
	}
	return messenger.Endpoint{}, false
}

// instances returns all live instances as the ledger sees them.
func (f *fleet) instances() []granter.Instance {
	var instances []granter.Instance
	for _, entry := range f.All() {
		instances = append(instances, granter.Instance{
			Name: entry.Name, Region: entry.Region, FailureDomain: entry.FailureDomain,
		})
	}
	return instances
}
