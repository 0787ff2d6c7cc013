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

// syncPause is the shortest time between two syncs with the ledger.
const syncPause = 500 * time.Millisecond

// stillSyncs is how many syncs in a row must move nothing before the next one
// waits for its interval.
const stillSyncs = 4

// syncTimeout bounds one sync.
const syncTimeout = 3 * time.Second

// ledger keeps an instance's grants in step with the keepers' ledger.
type ledger struct {
	settings loader.Gate
	client   *messenger.Client
	follower *watcher.Follower
	lender   *lender.Lender
	self     granter.Instance

	mu          sync.Mutex
	index       uint64
	consents    []granter.Consent
	leader      int
	surrendered bool
	// synced means that the ledger has told this process its grants.
	synced atomic.Bool
}

func newLedger(settings loader.Gate, client *messenger.Client, follower *watcher.Follower, l *lender.Lender) *ledger {
	return &ledger{
		settings: settings, client: client, follower: follower, lender: l,
		self: granter.Instance{Name: settings.Name, Region: settings.Region, FailureDomain: settings.FailureDomain},
	}
}

// run syncs every interval, and soon again while grants are in motion: the
// ledger plans a moment after a change.
func (l *ledger) run(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := l.follower.Changed()
		for still := 0; still < stillSyncs && ctx.Err() == nil; still++ {
			moved, err := l.sync(ctx)
			if err != nil {
				klog.V(3).InfoS("ledger not reached", "err", err)
			}
			if moved || err != nil {
				still = 0
			}
			conductor.Pause(ctx, syncPause)
		}
		l.rest(ctx, changed)
	}
	return nil
}

// rest keeps the lease through calm times, until the configuration changes or
// a grant moves.
func (l *ledger) rest(ctx context.Context, changed <-chan struct{}) {
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
		if moved, err := l.sync(ctx); moved || err != nil {
			return
		}
	}
}

// sync asks the ledger once. It reports whether any grant moved.
func (l *ledger) sync(ctx context.Context) (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.surrendered {
		return false, nil
	}
	query := keeper.SyncQuery{Instance: l.self, Since: l.index, Consents: l.consents, Demand: l.lender.Demand()}
	asked := time.Now()
	answer, err := l.askLeader(ctx, query)
	if err != nil {
		return false, err
	}
	if len(answer.Grants) > 0 {
		l.synced.Store(true)
	}
	l.index = answer.Index
	l.consents = lender.Consents(answer.Grants)
	now := time.Now()
	view := l.follower.View()
	l.lender.Update(func(limits *limiter.Limiter) {
		for _, grant := range answer.Grants {
			limits.Grant(now, grant)
			tellWhole(limits, now, view, grant.Workspace)
		}
		if answer.Renewed {
			limits.Renew(now, asked)
		}
	})
	return len(answer.Grants) > 0, nil
}

// askLeader tries the keepers in turn, the last known leader first.
func (l *ledger) askLeader(ctx context.Context, query keeper.SyncQuery) (keeper.SyncAnswer, error) {
	var last error
	for range l.settings.Keepers {
		k := l.settings.Keepers[l.leader%len(l.settings.Keepers)]
		endpoint := messenger.Endpoint{Name: k.Name, Address: k.Address}
		call, cancel := context.WithTimeout(ctx, syncTimeout)
		answer, err := messenger.Call[keeper.SyncQuery, keeper.SyncAnswer](call, l.client, endpoint, keeper.MethodSync, query)
		cancel()
		if err == nil {
			return answer, nil
		}
		last = err
		l.leader++
	}
	return keeper.SyncAnswer{}, trace.Wrap(last)
}

// surrender hands the leased parts back before a shutdown. They are lowered
// here first, and no later sync can renew them.
func (l *ledger) surrender(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.surrendered = true
	l.lender.Update(func(limits *limiter.Limiter) { limits.Surrender(time.Now()) })
	if _, err := l.askLeader(ctx, keeper.SyncQuery{Instance: l.self, Since: l.index, Surrender: true}); err != nil {
		klog.V(2).InfoS("leased grants not handed back: they lapse", "err", err)
	}
}

// configured tells the limiter the rates of a new configuration.
func (l *ledger) configured(view *tabler.View) {
	now := time.Now()
	l.lender.Update(func(limits *limiter.Limiter) {
		view.Workspaces(func(workspace tabler.Workspace) {
			limits.Whole(now, workspace.Name, granter.Tokens(workspace.Rate, workspace.Burst))
		})
		limits.Forget(func(name string) bool {
			_, known := view.Workspace(name)
			return known
		})
	})
}

func tellWhole(limits *limiter.Limiter, now time.Time, view *tabler.View, name string) {
	if workspace, known := view.Workspace(name); known {
		limits.Whole(now, name, granter.Tokens(workspace.Rate, workspace.Burst))
	}
}
