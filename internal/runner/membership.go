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
	"github.com/boragehead/boragehead/internal/quarantiner"
	"github.com/boragehead/boragehead/internal/watcher"
)

const (
	methodGossip = "gossip"
	// gossipTimeout limits one gossip call between two instances.
	gossipTimeout = 2 * time.Second
)

// gossipQuery sends the caller's own entry, the versions of the entries that
// it knows, and the key revocations that it knows.
type gossipQuery struct {
	Self    gossiper.Entry              `cbor:"e"`
	Digest  map[string]gossiper.Version `cbor:"d"`
	Revoked []string                    `cbor:"w,omitempty"`
	// Evidence is the digest of the caller's table of requests that crash servers.
	Evidence uint64 `cbor:"q,omitempty"`
}

// gossipAnswer returns the entries that are newer than the caller's digest, the
// answering instance's own entry first, and the key revocations that it knows.
type gossipAnswer struct {
	Entries []gossiper.Entry `cbor:"e"`
	Revoked []string         `cbor:"w,omitempty"`
	// Evidence is the digest of the answering instance's table of requests that crash
	// servers. Requests is that table if the caller's digest differs.
	Evidence uint64             `cbor:"q,omitempty"`
	Requests []quarantiner.Part `cbor:"r,omitempty"`
}

// membership holds what one entry instance knows of the others, and keeps it
// up to date by gossip. It is safe for concurrent use.
type membership struct {
	settings   loader.Gate
	client     *messenger.Client
	follower   *watcher.Follower
	dispatcher *dispatcher.Dispatcher
	evidence   *evidenceSharer

	mu    sync.Mutex
	table *gossiper.Table
	// lastKeeperless is when an answer to a watch last listed a region as
	// keeperless, by region. See watcher.Update.
	lastKeeperless map[string]time.Time
}

func newMembership(settings loader.Gate, client *messenger.Client, follower *watcher.Follower, d *dispatcher.Dispatcher) *membership {
	now := time.Now()
	self := gossiper.Entry{
		Name: settings.Name, Region: settings.Region, FailureDomain: settings.FailureDomain,
		CallerAddress: settings.DirectoryAddress(), CallerTLS: settings.CallerTLS != nil, PeerAddress: settings.PeerAddress,
		Incarnation: now.UnixNano(), State: gossiper.StateStarting,
	}
	m := &membership{
		settings: settings, client: client, follower: follower, dispatcher: d,
		table: gossiper.NewTable(self, uint64(now.UnixNano())), lastKeeperless: map[string]time.Time{},
	}
	m.evidence = &evidenceSharer{name: settings.Name, client: client, membership: m, dispatcher: d}
	return m
}

// run starts a gossip round every gossiper.RoundInterval until ctx ends.
func (m *membership) run(ctx context.Context) error {
	ticker := time.NewTicker(gossiper.RoundInterval)
	defer ticker.Stop()
	for {
		m.gossipRound(ctx, m.gossipPartners())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// markReady changes this instance's state from starting to ready, which adds it
// to the directory.
func (m *membership) markReady() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.UpdateSelf(func(entry *gossiper.Entry) {
		if entry.State == gossiper.StateStarting {
			entry.State = gossiper.StateReady
		}
	})
}

// announceState sets this instance's state and sends it to all live instances
// at once, without waiting for the next round. It is used before a shutdown.
func (m *membership) announceState(ctx context.Context, state gossiper.State) {
	m.mu.Lock()
	m.table.UpdateSelf(func(entry *gossiper.Entry) { entry.State = state })
	live := m.table.Live(time.Now())
	m.mu.Unlock()
	m.gossipRound(ctx, peerEndpoints(live))
}

// gossipRound gossips with all partners concurrently and returns when every
// call has ended.
func (m *membership) gossipRound(ctx context.Context, partners []messenger.Endpoint) {
	m.refreshSelf()
	var wait sync.WaitGroup
	for _, partner := range partners {
		wait.Go(func() { m.gossipWith(ctx, partner) })
	}
	wait.Wait()
}

// refreshSelf updates the revision, the pool summaries and the state in this
// instance's own entry. It does not change the states starting and stopping.
func (m *membership) refreshSelf() {
	view := m.follower.View()
	summary := m.dispatcher.Summary()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.UpdateSelf(func(entry *gossiper.Entry) {
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

// gossipPartners returns the instances for the next round. While the table
// gives fewer than two, the peers from the settings are added.
func (m *membership) gossipPartners() []messenger.Endpoint {
	m.mu.Lock()
	partners := peerEndpoints(m.table.Partners(time.Now()))
	m.mu.Unlock()
	if len(partners) > 1 {
		return partners
	}
	for _, peer := range m.settings.Peers {
		endpoint := messenger.Endpoint{Name: peer.Name, Address: peer.Address}
		if peer.Name != m.settings.Name && !slices.Contains(partners, endpoint) {
			partners = append(partners, endpoint)
		}
	}
	return partners
}

func peerEndpoints(entries []gossiper.Entry) []messenger.Endpoint {
	var endpoints []messenger.Endpoint
	for _, entry := range entries {
		endpoints = append(endpoints, messenger.Endpoint{Name: entry.Name, Address: entry.PeerAddress})
	}
	return endpoints
}

// gossipWith calls one instance and merges its answer.
func (m *membership) gossipWith(ctx context.Context, to messenger.Endpoint) {
	now := time.Now()
	m.mu.Lock()
	query := gossipQuery{Self: m.table.SelfEntry(), Digest: m.table.Digest(now)}
	m.mu.Unlock()
	query.Revoked, query.Evidence = m.follower.Revoked(), m.evidence.Digest()
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	answer, err := messenger.Call[gossipQuery, gossipAnswer](ctx, m.client, to, methodGossip, query)
	if err != nil {
		klog.V(4).InfoS("gossip failed", "peer", to.Name, "err", err)
		m.client.Reset(to)
		return
	}
	m.merge(answer.Entries, answer.Revoked)
	m.evidence.reconcile(ctx, to, answer.Evidence, answer.Requests)
}

// merge adds the entries and revocations that another instance sent, and hears of
// the revisions that the entries report. The first
// entry must be the sender's own: it counts as contact with the sender's region.
func (m *membership) merge(entries []gossiper.Entry, revoked []string) {
	for _, entry := range entries {
		m.follower.HearRevision(time.Now(), entry.Revision)
	}
	if len(revoked) > 0 {
		m.follower.Apply(watcher.Update{Revoked: revoked})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.table.Merge(now, entries)
	if len(entries) > 0 {
		m.table.RecordContact(now, entries[0].Region)
	}
}

// handleGossip answers the gossip of another instance, which may only send its
// own entry.
func (m *membership) handleGossip(_ context.Context, from certifier.Identity, query gossipQuery) (gossipAnswer, error) {
	if from.Name != query.Self.Name {
		return gossipAnswer{}, trace.AccessDenied("%q may not speak for %q", from.Name, query.Self.Name)
	}
	m.merge([]gossiper.Entry{query.Self}, query.Revoked)
	answer := gossipAnswer{Revoked: m.follower.Revoked(), Evidence: m.evidence.Digest()}
	if answer.Evidence != query.Evidence {
		answer.Requests = m.evidence.All(time.Now())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	answer.Entries = m.table.NewerThan(time.Now(), query.Digest)
	return answer, nil
}

// recordContact records an answer to a watch as contact with the region of the
// answering process, and records the keeperless regions that it lists.
func (m *membership) recordContact(update watcher.Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.table.RecordContact(now, update.Region)
	for _, region := range update.KeeperlessRegions {
		m.lastKeeperless[region] = now
	}
}

// SinceContact implements authenticator.Contacts. It returns the time since a
// process of the region was last heard directly or the region was last listed as
// keeperless, whichever is shorter, and false if neither has happened.
func (m *membership) SinceContact(region string) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	age, known := m.table.ContactAge(now, region)
	if last, ok := m.lastKeeperless[region]; ok && (!known || now.Sub(last) < age) {
		return now.Sub(last), true
	}
	return age, known
}

// self returns this instance's own entry.
func (m *membership) self() gossiper.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.SelfEntry()
}

// LivePeers implements router.Fleet. This instance is not included.
func (m *membership) LivePeers() []gossiper.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Live(time.Now())
}

// Instances implements director.Fleet. It returns the live instances and this
// one.
func (m *membership) Instances() []gossiper.Entry {
	return append(m.LivePeers(), m.self())
}

// PoolSummaries implements router.Fleet. It returns the summaries of the pools
// that this instance serves.
func (m *membership) PoolSummaries() []gossiper.PoolSummary {
	return m.dispatcher.Summary()
}

// ReadyURLs implements router.Fleet. The URLs are in the order of
// director.OrderInstances.
func (m *membership) ReadyURLs(region, workspace string) []string {
	var urls []string
	for _, entry := range director.OrderInstances(workspace, region, m.settings.Region, m.Instances()) {
		urls = append(urls, director.URL(entry))
	}
	return urls
}

// endpoint returns the peer endpoint of a live instance other than this one.
func (m *membership) endpoint(name string) (messenger.Endpoint, bool) {
	for _, entry := range m.LivePeers() {
		if entry.Name == name {
			return messenger.Endpoint{Name: entry.Name, Address: entry.PeerAddress}, true
		}
	}
	return messenger.Endpoint{}, false
}

// liveInstances returns all live instances, this one included, in the form that
// package granter uses.
func (m *membership) liveInstances() []granter.Instance {
	var instances []granter.Instance
	for _, entry := range m.Instances() {
		instances = append(instances, granter.Instance{
			Name: entry.Name, Region: entry.Region, FailureDomain: entry.FailureDomain,
		})
	}
	return instances
}
