// Package keeper runs a control instance: it keeps the tables, keys and
// ledger with the other keepers, and the idempotency claims of its region.
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

// The names of the replicated groups.
const (
	controlGroup     = "control"
	claimGroupPrefix = "claims-"
)

// Keeper is a control instance.
type Keeper struct {
	settings loader.KeeperProcess
	client   *messenger.Client
	identity *replicator.Identity
	machine  *controlMachine
	control  *replicator.Group
	claims   *replicator.Group
	couriers *couriers
	revoked  *revocations

	mu       sync.Mutex
	contacts map[string]contact
	planner  *granter.Planner
	planTerm replicator.Term
	// planned is the revision that the planner has looked at.
	planned tabler.Revision
	orders  orderBook
	changed chan struct{}
}

// New opens a keeper's state from its disk.
func New(settings loader.KeeperProcess, disk journaler.Disk, client *messenger.Client) (*Keeper, error) {
	identity, err := replicator.OpenIdentity(disk)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	revoked, err := openRevocations(disk)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	k := &Keeper{
		settings: settings,
		client:   client,
		identity: identity,
		machine:  &controlMachine{},
		couriers: newCouriers(settings, identity.Store, client),
		revoked:  revoked,
		contacts: map[string]contact{},
		changed:  make(chan struct{}),
	}
	k.control, err = replicator.Open(identity, controlGroup, k.machine, k.couriers)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	k.claims, err = replicator.Open(identity, claimGroupPrefix+settings.Region, &claimMachine{}, k.couriers)
	return k, trace.Wrap(err)
}

// Duty is one goroutine's work; it ends with its context.
type Duty struct {
	Name string
	Run  func(ctx context.Context) error
}

// Duties returns what must run, each in a goroutine of its own.
func (k *Keeper) Duties() []Duty {
	duties := []Duty{
		{Name: "control-group", Run: k.control.Run},
		{Name: "claim-group", Run: k.claims.Run},
		{Name: "planner", Run: k.runPlanner},
		{Name: "revoker", Run: k.runRevoker},
		{Name: "notifier", Run: k.runNotifier},
	}
	return append(duties, k.couriers.duties()...)
}

// HandOver passes leadership on before a graceful shutdown.
func (k *Keeper) HandOver(ctx context.Context) {
	const patience = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for _, group := range []*replicator.Group{k.control, k.claims} {
		if !group.Leads() || len(group.Status().Members) < 2 {
			continue
		}
		if err := group.HandOver(ctx); err != nil {
			klog.ErrorS(err, "leadership not handed over")
			continue
		}
		awaitFollower(ctx, group)
	}
}

func awaitFollower(ctx context.Context, group *replicator.Group) {
	for group.Leads() {
		select {
		case <-group.Changed():
		case <-ctx.Done():
			return
		}
	}
}

// runNotifier wakes those who wait for news whenever the log moves.
func (k *Keeper) runNotifier(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-k.control.Changed():
			k.notify()
		}
	}
}

func (k *Keeper) notify() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.changed)
	k.changed = make(chan struct{})
}

// Changed implements watcher.Source.
func (k *Keeper) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}

// endpoint returns how a keeper is reached.
func (k *Keeper) endpoint(name string) (messenger.Endpoint, bool) {
	for _, keeper := range k.settings.Keepers {
		if keeper.Name == name {
			return messenger.Endpoint{Name: keeper.Name, Address: keeper.Address}, true
		}
	}
	return messenger.Endpoint{}, false
}

// read waits until the state reflects all that was accepted before the call.
func (k *Keeper) read(ctx context.Context) error {
	if k.control.Leads() {
		return trace.Wrap(k.control.Read(ctx))
	}
	leader, known := k.control.Leader()
	if !known {
		return trace.Wrap(ErrNoQuorum)
	}
	endpoint, known := k.endpoint(leader.Name)
	if !known {
		return trace.Wrap(ErrNoQuorum)
	}
	point, err := messenger.Call[readQuery, readAnswer](ctx, k.client, endpoint, methodRead, readQuery{})
	if err != nil {
		return trace.Wrap(err)
	}
	return k.awaitApplied(ctx, point.Index)
}

func (k *Keeper) awaitApplied(ctx context.Context, index replicator.Index) error {
	for {
		changed := k.control.Changed()
		if k.control.Status().Applied >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return trace.Wrap(ErrNoQuorum, "%v", ctx.Err())
		}
	}
}

// change puts a table command through the log, by way of the leader.
func (k *Keeper) change(ctx context.Context, c tabler.Command) (tabler.Result, error) {
	return propose[tabler.Result](ctx, k, k.control, controlGroup, command{Table: &c})
}
