package runner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/granter"
	"github.com/boragehead/boragehead/internal/keeper"
	"github.com/boragehead/boragehead/internal/lender"
	"github.com/boragehead/boragehead/internal/limiter"
	"github.com/boragehead/boragehead/internal/loader"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/tabler"
	"github.com/boragehead/boragehead/internal/watcher"
)

// minSyncInterval is the pause between two syncs with the ledger while grants
// are changing.
const minSyncInterval = 500 * time.Millisecond

// idleSyncs is how many syncs in a row may return no changed grant before the
// interval grows from minSyncInterval to granter.SyncInterval.
const idleSyncs = 4

// syncTimeout limits the call to one keeper during a sync.
const syncTimeout = 3 * time.Second

// grantSyncer keeps the rate limiter's grants in sync with the ledger of the
// keepers, and renews the lease on their leased parts. It is safe for
// concurrent use.
type grantSyncer struct {
	settings loader.Gate
	client   *messenger.Client
	follower *watcher.Follower
	lender   *lender.Lender
	self     granter.Instance

	mu sync.Mutex
	// ledgerIndex is the index of the ledger up to which this instance has the
	// grants.
	ledgerIndex uint64
	reductions  []granter.Reduction
	// leaderIndex, modulo the number of keepers, is the keeper to call first.
	leaderIndex int
	surrendered bool
	// receivedGrants is true once the ledger has sent grants to this process.
	receivedGrants atomic.Bool
}

func newGrantSyncer(settings loader.Gate, client *messenger.Client, follower *watcher.Follower, l *lender.Lender) *grantSyncer {
	return &grantSyncer{
		settings: settings, client: client, follower: follower, lender: l,
		self: granter.Instance{Name: settings.Name, Region: settings.Region, FailureDomain: settings.FailureDomain},
	}
}

// run syncs with the ledger until ctx ends: every minSyncInterval after a change
// of the configuration or of grants, because the ledger plans new grants with a
// short delay after a change, and every granter.SyncInterval otherwise.
func (s *grantSyncer) run(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := s.follower.Changed()
		for unchangedSyncs := 0; unchangedSyncs < idleSyncs && ctx.Err() == nil; unchangedSyncs++ {
			grantsChanged, err := s.sync(ctx)
			if err != nil {
				klog.V(3).InfoS("sync with the grant ledger failed", "err", err)
			}
			if grantsChanged || err != nil {
				unchangedSyncs = 0
			}
			conductor.Sleep(ctx, minSyncInterval)
		}
		s.renewLease(ctx, changed)
	}
	return nil
}

// renewLease syncs every granter.SyncInterval to renew the lease. It returns
// when the configuration or a grant has changed, a sync has failed, or ctx has
// ended.
func (s *grantSyncer) renewLease(ctx context.Context, changed <-chan struct{}) {
	ticker := time.NewTicker(granter.SyncInterval)
	defer ticker.Stop()
	for {
		select {
		case <-changed:
			return
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if grantsChanged, err := s.sync(ctx); grantsChanged || err != nil {
			return
		}
	}
}

// sync makes one call to the ledger and applies its answer to the limiter. It
// reports whether any grant changed. After surrender it does nothing.
func (s *grantSyncer) sync(ctx context.Context) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.surrendered {
		return false, nil
	}
	query := keeper.SyncQuery{Instance: s.self, Since: s.ledgerIndex, Reductions: s.reductions, Demand: s.lender.Demand()}
	asked := time.Now()
	answer, err := s.askLeader(ctx, query)
	if err != nil {
		return false, err
	}
	if len(answer.Grants) > 0 {
		s.receivedGrants.Store(true)
	}
	s.ledgerIndex = answer.Index
	s.reductions = lender.Consents(answer.Grants)
	now := time.Now()
	view := s.follower.View()
	s.lender.Update(func(limits *limiter.Limiter) {
		for _, grant := range answer.Grants {
			limits.ApplyGrant(now, grant)
			setWorkspaceLimit(limits, now, view, grant.Workspace)
		}
		if answer.Renewed {
			limits.RenewLease(now, asked)
		}
	})
	return len(answer.Grants) > 0, nil
}

// askLeader tries each keeper once, starting with the one that last answered,
// and returns the first answer or the last error. s.mu must be held.
func (s *grantSyncer) askLeader(ctx context.Context, query keeper.SyncQuery) (keeper.SyncAnswer, error) {
	var lastErr error
	for range s.settings.Keepers {
		k := s.settings.Keepers[s.leaderIndex%len(s.settings.Keepers)]
		endpoint := messenger.Endpoint{Name: k.Name, Address: k.Address}
		callCtx, cancel := context.WithTimeout(ctx, syncTimeout)
		answer, err := messenger.Call[keeper.SyncQuery, keeper.SyncAnswer](callCtx, s.client, endpoint, keeper.MethodSync, query)
		cancel()
		if err == nil {
			return answer, nil
		}
		lastErr = err
		s.leaderIndex++
	}
	return keeper.SyncAnswer{}, trace.Wrap(lastErr)
}

// surrender returns the leased parts of the grants before a shutdown. The
// limiter stops using them before the ledger is told, and no later sync can
// renew them.
func (s *grantSyncer) surrender(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.surrendered = true
	s.lender.Update(func(limits *limiter.Limiter) { limits.ReleaseLease(time.Now()) })
	if _, err := s.askLeader(ctx, keeper.SyncQuery{Instance: s.self, Since: s.ledgerIndex, Surrender: true}); err != nil {
		klog.V(2).InfoS("leased grants not returned to the ledger; they expire with the lease", "err", err)
	}
}

// applyConfiguration passes the workspace rates of a configuration to the
// limiter and removes the workspaces that it no longer has.
func (s *grantSyncer) applyConfiguration(view *tabler.View) {
	now := time.Now()
	s.lender.Update(func(limits *limiter.Limiter) {
		view.Workspaces(func(workspace tabler.Workspace) {
			limits.SetWorkspaceLimit(now, workspace.Name, granter.FromTokens(workspace.Rate, workspace.Burst))
		})
		limits.PruneWorkspaces(func(name string) bool {
			_, known := view.Workspace(name)
			return known
		})
	})
}

// setWorkspaceLimit passes the rate of one workspace to the limiter, if the
// workspace is in the configuration.
func setWorkspaceLimit(limits *limiter.Limiter, now time.Time, view *tabler.View, name string) {
	if workspace, known := view.Workspace(name); known {
		limits.SetWorkspaceLimit(now, name, granter.FromTokens(workspace.Rate, workspace.Burst))
	}
}
