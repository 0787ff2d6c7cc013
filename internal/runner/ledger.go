package runner

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

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

// syncTimeout bounds one sync.
const syncTimeout = 3 * time.Second

// ledger keeps an instance's grants in step with the keepers' ledger.
type ledger struct {
	settings loader.Gate
	client   *messenger.Client
	follower *watcher.Follower
	lender   *lender.Lender
	self     granter.Instance

	index    uint64
	consents []granter.Consent
	leader   int
}

func newLedger(settings loader.Gate, client *messenger.Client, follower *watcher.Follower, l *lender.Lender) *ledger {
	return &ledger{
		settings: settings, client: client, follower: follower, lender: l,
		self: granter.Instance{Name: settings.Name, Region: settings.Region, FailureDomain: settings.FailureDomain},
	}
}

// run syncs every interval, and soon again while grants are in motion.
func (l *ledger) run(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := l.follower.Changed()
		moved, err := l.sync(ctx, false)
		if err != nil {
			klog.V(3).InfoS("ledger not reached", "err", err)
		}
		pause(ctx, syncPause)
		if moved || err != nil {
			continue
		}
		select {
		case <-changed:
		case <-time.After(granter.SyncInterval - syncPause):
		case <-ctx.Done():
		}
	}
	return nil
}

// sync asks the ledger once. It reports whether any grant moved.
func (l *ledger) sync(ctx context.Context, surrender bool) (bool, error) {
	query := keeper.SyncQuery{
		Instance: l.self, Since: l.index, Consents: l.consents, Demand: l.lender.Demand(), Surrender: surrender,
	}
	asked := time.Now()
	answer, err := l.askLeader(ctx, query)
	if err != nil {
		return false, err
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
// here first.
func (l *ledger) surrender(ctx context.Context) {
	l.lender.Update(func(limits *limiter.Limiter) { limits.Surrender(time.Now()) })
	if _, err := l.sync(ctx, true); err != nil {
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
