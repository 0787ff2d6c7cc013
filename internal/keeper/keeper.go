// Package keeper runs a control instance, called a keeper in settings and
// names. Keepers replicate the configuration tables, the API keys and the
// ledger of rate grants among all of them, and the idempotency claims of a
// region among the keepers of that region.
package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/granter"
	"github.com/boragehead/boragehead/internal/journaler"
	"github.com/boragehead/boragehead/internal/loader"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/replicator"
	"github.com/boragehead/boragehead/internal/tabler"
)

// Names of the replicated groups. A claim group's name ends with its region.
const (
	controlGroupName = "control"
	claimGroupPrefix = "claims-"
)

// Keeper is a control instance. Its methods are safe for concurrent use.
type Keeper struct {
	settings     loader.KeeperProcess
	client       *messenger.Client
	identity     *replicator.Identity
	controlState *controlStateMachine
	controlGroup *replicator.Group
	claimGroup   *replicator.Group
	transport    *groupTransport
	revocations  *revocationStore

	// mu guards the fields below. It may be held while controlState is read,
	// never the other way round.
	mu sync.Mutex
	// reports holds the last report of each entry instance, by its name.
	reports map[string]instanceReport
	// planner is nil until this keeper first leads. It belongs to plannerTerm.
	planner     *granter.Planner
	plannerTerm replicator.Term
	// plannedRevision is the revision of the tables whose changed workspaces
	// have been queued in the planner.
	plannedRevision tabler.Revision
	orders          termOrders
	// changed is closed and replaced at each change that watchers may see.
	changed chan struct{}
}

// New opens a keeper with the state on its disk. Nothing runs until the
// functions that Tasks returns are started.
func New(settings loader.KeeperProcess, disk journaler.Disk, client *messenger.Client) (*Keeper, error) {
	identity, err := replicator.OpenIdentity(disk)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	revocations, err := openRevocationStore(disk)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	k := &Keeper{
		settings:     settings,
		client:       client,
		identity:     identity,
		controlState: &controlStateMachine{},
		transport:    newGroupTransport(settings, identity.Store, client),
		revocations:  revocations,
		reports:      map[string]instanceReport{},
		changed:      make(chan struct{}),
	}
	k.controlGroup, err = replicator.Open(identity, controlGroupName, k.controlState, k.transport)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	k.claimGroup, err = replicator.Open(identity, claimGroupPrefix+settings.Region, &claimStateMachine{}, k.transport)
	return k, trace.Wrap(err)
}

// Task is a long-running function of a keeper. Run returns when its context
// ends.
type Task struct {
	Name string
	Run  func(ctx context.Context) error
}

// Tasks returns the functions that must run while the keeper does, each in
// its own goroutine.
func (k *Keeper) Tasks() []Task {
	tasks := []Task{
		{Name: "control-group", Run: k.controlGroup.Run},
		{Name: "claim-group", Run: k.claimGroup.Run},
		{Name: "planner", Run: k.runPlanner},
		{Name: "revoker", Run: k.runRevoker},
		{Name: "notifier", Run: k.runNotifier},
	}
	return append(tasks, k.transport.tasks()...)
}

// TransferLeadership transfers the leadership of the groups that this keeper
// leads, so that a graceful shutdown does not cost an election timeout. It is
// best effort and takes at most 2 s.
func (k *Keeper) TransferLeadership(ctx context.Context) {
	const timeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for _, group := range []*replicator.Group{k.controlGroup, k.claimGroup} {
		if !group.IsLeader() || len(group.Status().Members) < 2 {
			continue
		}
		if err := group.TransferLeadership(ctx); err != nil {
			klog.ErrorS(err, "cannot transfer leadership before shutdown")
			continue
		}
		awaitLeadershipEnd(ctx, group)
	}
}

// awaitLeadershipEnd returns when this store no longer leads the group, or when
// the context ends.
func awaitLeadershipEnd(ctx context.Context, group *replicator.Group) {
	for group.IsLeader() {
		select {
		case <-group.Changed():
		case <-ctx.Done():
			return
		}
	}
}

// runNotifier wakes the watchers whenever the status of the control group
// changes.
func (k *Keeper) runNotifier(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-k.controlGroup.Changed():
			k.notifyWatchers()
		}
	}
}

// notifyWatchers closes the channel that Changed returned.
func (k *Keeper) notifyWatchers() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.changed)
	k.changed = make(chan struct{})
}

// Changed implements [watcher.Source].
func (k *Keeper) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}

// keeperEndpoint returns the address of the keeper with this name, as the
// settings give it.
func (k *Keeper) keeperEndpoint(name string) (messenger.Endpoint, bool) {
	for _, keeper := range k.settings.Keepers {
		if keeper.Name == name {
			return messenger.Endpoint{Name: keeper.Name, Address: keeper.Address}, true
		}
	}
	return messenger.Endpoint{}, false
}

// readBarrier returns once the local state reflects everything that the control
// group had committed before the call, so that a following read is
// linearizable. A follower asks the leader for the index and waits for it.
func (k *Keeper) readBarrier(ctx context.Context) error {
	if k.controlGroup.IsLeader() {
		return trace.Wrap(k.controlGroup.Read(ctx))
	}
	leader, known := k.controlGroup.Leader()
	if !known {
		return trace.Wrap(ErrNoQuorum)
	}
	endpoint, known := k.keeperEndpoint(leader.Name)
	if !known {
		return trace.Wrap(ErrNoQuorum)
	}
	answer, err := messenger.Call[readQuery, readAnswer](ctx, k.client, endpoint, methodRead, readQuery{})
	if err != nil {
		return trace.Wrap(err)
	}
	return k.awaitApplied(ctx, answer.Index)
}

// awaitApplied returns once the entry at this index has been applied here, or
// ErrNoQuorum when the context ends before.
func (k *Keeper) awaitApplied(ctx context.Context, index replicator.Index) error {
	for {
		changed := k.controlGroup.Changed()
		if k.controlGroup.Status().Applied >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return trace.Wrap(ErrNoQuorum, "%v", ctx.Err())
		}
	}
}

// proposeTableChange commits a change of the tables, keys or instances and
// returns its result. Its errors are those of propose.
func (k *Keeper) proposeTableChange(ctx context.Context, c tabler.Command) (tabler.Result, error) {
	return propose[tabler.Result](ctx, k, k.controlGroup, controlGroupName, command{Table: &c})
}
