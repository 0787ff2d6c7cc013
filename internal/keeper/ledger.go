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

// planInterval is the time between two planning rounds.
const planInterval = 500 * time.Millisecond

// planBatchSize limits the workspaces that one planning round examines.
const planBatchSize = 500

// serveSync records an instance's reductions and demand, renews its lease and
// returns its changed grants. The lease is renewed only after a quorum has
// confirmed that this keeper still leads: a new leader waits for the end of every
// lease that an earlier one may have renewed.
func (k *Keeper) serveSync(ctx context.Context, from certifier.Identity, query SyncQuery) (SyncAnswer, error) {
	if from.Name != query.Instance.Name {
		return SyncAnswer{}, trace.AccessDenied("%q may not speak for %q", from.Name, query.Instance.Name)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if len(query.Reductions) > 0 {
		if err := k.proposeReductions(ctx, query); err != nil {
			return SyncAnswer{}, err
		}
	}
	if err := k.controlGroup.Read(ctx); err != nil {
		return SyncAnswer{}, err
	}
	if query.Surrender {
		return SyncAnswer{}, k.reclaimLeases(ctx, query.Instance.Name)
	}
	answer := SyncAnswer{Renewed: k.renewLease(query)}
	k.controlState.view(func(_ *tabler.State, ledger *granter.Ledger, index uint64) {
		answer.Index = index
		answer.Grants = ledger.ChangedSince(query.Instance.Name, query.Since)
	})
	return answer, nil
}

// renewLease records the instance's demand and renews its lease. It reports false,
// without renewing, when the planner does not belong to the current term or the
// instance's leases are being reclaimed.
func (k *Keeper) renewLease(query SyncQuery) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	plannerCurrent := k.planner != nil && k.plannerTerm == k.controlGroup.Status().Term && k.controlGroup.IsLeader()
	if !plannerCurrent {
		return false
	}
	for _, reduction := range query.Reductions {
		k.planner.Enqueue(reduction.Workspace)
	}
	for workspace, rate := range query.Demand {
		k.planner.RecordDemand(query.Instance.Name, workspace, rate)
	}
	return k.planner.RenewLease(time.Now(), query.Instance)
}

// reclaimLeases frees the leased parts of an instance that has stopped using them
// and will not sync again.
func (k *Keeper) reclaimLeases(ctx context.Context, instance string) error {
	data, err := cbor.Marshal(command{Ledger: &granter.Command{ExpireLeases: &granter.ExpireLeases{Instance: instance}}})
	if err != nil {
		return trace.Wrap(err)
	}
	// Propose in this term only: in a later one the instance may have started
	// again and renewed its lease.
	term := k.controlGroup.Status().Term
	k.withPlanner(func(p *granter.Planner) { p.MarkSurrendered(instance) })
	if _, err = k.controlGroup.ProposeIn(ctx, term, data); err != nil {
		return trace.Wrap(err) // the next planning round proposes it again
	}
	k.withPlanner(func(p *granter.Planner) { p.ConfirmReclaimed(instance) })
	return nil
}

// withPlanner calls change with the planner, if there is one, while holding mu.
func (k *Keeper) withPlanner(change func(*granter.Planner)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.planner != nil {
		change(k.planner)
	}
}

// proposeReductions commits the reductions of a query. This keeper must be the
// leader.
func (k *Keeper) proposeReductions(ctx context.Context, query SyncQuery) error {
	reduce := granter.Reduce{Instance: query.Instance.Name, Reductions: query.Reductions}
	data, err := cbor.Marshal(command{Ledger: &granter.Command{Reduce: &reduce}})
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = k.controlGroup.Propose(ctx, data)
	return trace.Wrap(err)
}

// runPlanner plans the ledger while this keeper leads. The same goroutine replaces
// the planner in each new term and proposes, so that nothing decided in one term
// is proposed in another.
func (k *Keeper) runPlanner(ctx context.Context) error {
	return conductor.RunEvery(ctx, planInterval, k.runPlanRound)
}

// runPlanRound proposes the commands that the ledger needs now. It stops at the
// first one that is not accepted; the next round decides anew.
func (k *Keeper) runPlanRound(ctx context.Context) {
	status := k.controlGroup.Status()
	if status.Role != replicator.Leader {
		return
	}
	now := time.Now()
	k.mu.Lock()
	if k.planner == nil || k.plannerTerm != status.Term {
		k.planner = granter.NewPlanner(now)
		k.plannerTerm = status.Term
		k.plannedRevision = 0
	}
	k.mu.Unlock()
	for _, ledgerCommand := range k.dueCommands(now) {
		if err := k.proposeLedgerCommand(ctx, status.Term, ledgerCommand); err != nil {
			klog.V(2).InfoS("ledger command not committed", "err", err)
			return
		}
	}
}

// dueCommands returns the commands that the ledger needs now: expired leases
// first, then the plans of at most planBatchSize workspaces.
func (k *Keeper) dueCommands(now time.Time) []granter.Command {
	k.mu.Lock()
	defer k.mu.Unlock()
	var commands []granter.Command
	k.controlState.view(func(state *tabler.State, ledger *granter.Ledger, _ uint64) {
		for _, instance := range k.planner.ExpiredInstances(now, ledger) {
			commands = append(commands, granter.Command{ExpireLeases: &granter.ExpireLeases{Instance: instance}})
		}
		k.enqueueChangedWorkspaces(state)
		for _, workspace := range k.planner.NextBatch(now, ledger, planBatchSize) {
			homeRegion := state.Workspaces[workspace].Value.HomeRegion
			if plan := k.planner.Plan(now, ledger, workspace, homeRegion); plan != nil {
				commands = append(commands, granter.Command{Plan: plan})
			}
		}
	})
	return commands
}

// enqueueChangedWorkspaces queues the workspaces that the tables have changed since
// plannedRevision, and moves that forward. The caller holds mu.
func (k *Keeper) enqueueChangedWorkspaces(state *tabler.State) {
	if state.Revision == k.plannedRevision {
		return
	}
	delta := state.Delta(k.plannedRevision)
	k.plannedRevision = state.Revision
	for _, workspace := range delta.Put.Workspaces {
		k.planner.Enqueue(workspace.Name)
	}
	for _, name := range delta.Removed {
		k.planner.Enqueue(name.Name)
	}
}

// proposeLedgerCommand commits a command in this term only. When the command is an
// ExpireLeases, the planner may renew the instance's lease again afterwards.
func (k *Keeper) proposeLedgerCommand(ctx context.Context, term replicator.Term, ledgerCommand granter.Command) error {
	data, err := cbor.Marshal(command{Ledger: &ledgerCommand})
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := k.controlGroup.ProposeIn(ctx, term, data); err != nil {
		return err
	}
	if ledgerCommand.ExpireLeases != nil {
		k.withPlanner(func(p *granter.Planner) { p.ConfirmReclaimed(ledgerCommand.ExpireLeases.Instance) })
		klog.InfoS("leased parts of grants reclaimed", "instance", ledgerCommand.ExpireLeases.Instance)
	}
	return nil
}
