package keeper

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/granter"
	"github.com/boragehead/boragehead/internal/replicator"
	"github.com/boragehead/boragehead/internal/tabler"
)

// planInterval is the time between two looks at the ledger.
const planInterval = 500 * time.Millisecond

// planMost bounds the workspaces that are looked at in one interval.
const planMost = 500

// serveSync renews a holder's lease and tells it its grants. The lease is
// renewed only after a quorum confirms that this keeper still leads: a new
// leader waits out every lease that an old one may have renewed.
func (k *Keeper) serveSync(ctx context.Context, from certifier.Identity, query SyncQuery) (SyncAnswer, error) {
	if from.Name != query.Instance.Name {
		return SyncAnswer{}, trace.AccessDenied("%q may not speak for %q", from.Name, query.Instance.Name)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if len(query.Consents) > 0 {
		if err := k.recordConsents(ctx, query); err != nil {
			return SyncAnswer{}, err
		}
	}
	if err := k.control.Read(ctx); err != nil {
		return SyncAnswer{}, err
	}
	if query.Surrender {
		return SyncAnswer{}, k.takeBack(ctx, query.Instance.Name)
	}
	answer := SyncAnswer{Renewed: k.renew(query)}
	k.machine.view(func(_ *tabler.State, ledger *granter.Ledger, index uint64) {
		answer.Index = index
		answer.Grants = ledger.Since(query.Instance.Name, query.Since)
	})
	return answer, nil
}

// renew notes the holder's demand and renews its lease, unless this
// leadership is newer than the planner or the lease is being taken back.
func (k *Keeper) renew(query SyncQuery) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	current := k.planner != nil && k.planTerm == k.control.Status().Term && k.control.Leads()
	if !current {
		return false
	}
	for _, consent := range query.Consents {
		k.planner.Touch(consent.Workspace)
	}
	for workspace, rate := range query.Demand {
		k.planner.Demand(query.Instance.Name, workspace, rate)
	}
	return k.planner.Renew(time.Now(), query.Instance)
}

// takeBack frees the leased parts of an instance that has lowered itself and
// will not sync again.
func (k *Keeper) takeBack(ctx context.Context, instance string) error {
	data, err := cbor.Marshal(command{Ledger: &granter.Command{Lapse: &granter.Lapse{Instance: instance}}})
	if err != nil {
		return trace.Wrap(err)
	}
	// Only in this leadership: under a later one the instance may have
	// started again and renewed its lease.
	term := k.control.Status().Term
	k.withPlanner(func(p *granter.Planner) { p.Surrender(instance) })
	if _, err = k.control.ProposeIn(ctx, term, data); err != nil {
		return trace.Wrap(err) // the planner proposes it again
	}
	k.withPlanner(func(p *granter.Planner) { p.Reclaimed(instance) })
	return nil
}

func (k *Keeper) withPlanner(change func(*granter.Planner)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.planner != nil {
		change(k.planner)
	}
}

func (k *Keeper) recordConsents(ctx context.Context, query SyncQuery) error {
	lower := granter.Lower{Instance: query.Instance.Name, Consents: query.Consents}
	data, err := cbor.Marshal(command{Ledger: &granter.Command{Lower: &lower}})
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = k.control.Propose(ctx, data)
	return trace.Wrap(err)
}

// runPlanner plans the ledger while this keeper leads. One goroutine both
// renews the planner with every term and proposes, so that nothing decided in
// one leadership is proposed in another.
func (k *Keeper) runPlanner(ctx context.Context) error {
	return conductor.Every(ctx, planInterval, k.plan)
}

func (k *Keeper) plan(ctx context.Context) {
	status := k.control.Status()
	if status.Role != replicator.Leader {
		return
	}
	now := time.Now()
	k.mu.Lock()
	if k.planner == nil || k.planTerm != status.Term {
		k.planner = granter.NewPlanner(now)
		k.planTerm = status.Term
		k.planned = 0
	}
	k.mu.Unlock()
	for _, c := range k.due(now) {
		if err := k.proposePlan(ctx, status.Term, c); err != nil {
			klog.V(2).InfoS("plan not accepted", "err", err)
			return
		}
	}
}

// due returns the commands that the ledger needs now.
func (k *Keeper) due(now time.Time) []granter.Command {
	k.mu.Lock()
	defer k.mu.Unlock()
	var due []granter.Command
	k.machine.view(func(state *tabler.State, ledger *granter.Ledger, _ uint64) {
		for _, instance := range k.planner.Lapsed(now, ledger) {
			due = append(due, granter.Command{Lapse: &granter.Lapse{Instance: instance}})
		}
		k.touchChanged(state)
		for _, workspace := range k.planner.Due(now, ledger, planMost) {
			home := state.Workspaces[workspace].Value.HomeRegion
			if plan := k.planner.Plan(now, ledger, workspace, home); plan != nil {
				due = append(due, granter.Command{Plan: plan})
			}
		}
	})
	return due
}

// touchChanged queues the workspaces that the tables have changed since the
// last look.
func (k *Keeper) touchChanged(state *tabler.State) {
	if state.Revision == k.planned {
		return
	}
	delta := state.Delta(k.planned)
	k.planned = state.Revision
	for _, workspace := range delta.Put.Workspaces {
		k.planner.Touch(workspace.Name)
	}
	for _, name := range delta.Removed {
		k.planner.Touch(name.Name)
	}
}

func (k *Keeper) proposePlan(ctx context.Context, term replicator.Term, c granter.Command) error {
	data, err := cbor.Marshal(command{Ledger: &c})
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := k.control.ProposeIn(ctx, term, data); err != nil {
		return err
	}
	if c.Lapse != nil {
		k.withPlanner(func(p *granter.Planner) { p.Reclaimed(c.Lapse.Instance) })
		klog.InfoS("leased grants taken back", "instance", c.Lapse.Instance)
	}
	return nil
}
