package keeper

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/claimer"
	"github.com/boragehead/boragehead/internal/decoder"
	"github.com/boragehead/boragehead/internal/granter"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/replicator"
	"github.com/boragehead/boragehead/internal/tabler"
	"github.com/boragehead/boragehead/internal/watcher"
)

// Errors that errors.Is recognizes on the caller's side too, because they are
// registered with the messenger under a code.
var (
	// ErrNoQuorum means that this keeper knows no leader or cannot catch up with
	// it in time.
	ErrNoQuorum = messenger.RegisterError("no-quorum", errors.New("no quorum of keepers can be reached"))
	// ErrNotLeader means that the keeper that was asked does not lead the group:
	// ask another one.
	ErrNotLeader = messenger.RegisterError("not-leader", replicator.ErrNotLeader)
	// ErrLost means that it is unknown whether a change was committed.
	ErrLost = messenger.RegisterError("outcome-unknown", replicator.ErrOutcomeUnknown)
	// ErrOutdated means that a change was not made, since another one came after the state
	// that it was given for.
	ErrOutdated = messenger.RegisterError("outdated", replicator.ErrConditionFailed)
	// ErrHomeElsewhere means that a claim was sent to a region other than the home
	// of its workspace, by an older configuration than the keeper's.
	ErrHomeElsewhere = messenger.RegisterError("claim-home-elsewhere", errors.New("the workspace's home is another region"))
)

// Names of the calls between keepers.
const (
	methodReplicate = "replicate"
	methodPropose   = "propose"
	methodRead      = "read"
	methodStore     = "store"
	methodFound     = "found"
	methodRevoke    = "revoke"
	methodAdmit     = "admit"
)

// Names of the calls that entry instances make to keepers.
const (
	MethodWatch = "watch"
	MethodSync  = "sync"
	MethodClaim = "claim"
)

// callTimeout limits how long a keeper works on one call.
const callTimeout = 3 * time.Second

// proposeQuery forwards a proposal to the leader of a group.
type proposeQuery struct {
	Group string `cbor:"g"`
	Data  []byte `cbor:"d"`
}

// proposeAnswer carries the state machine's outcome, encoded as CBOR.
type proposeAnswer struct {
	Outcome []byte `cbor:"o"`
}

// readQuery asks the leader for an index that includes everything committed so
// far.
type readQuery struct{}

// readAnswer carries the index that the asker must apply before it reads.
type readAnswer struct {
	Index replicator.Index `cbor:"i"`
}

// SyncQuery is what an entry instance reports to the ledger at each sync. Since
// is the log index of its last sync, Demand the requested rate in tokens per
// second by workspace.
type SyncQuery struct {
	Instance   granter.Instance    `cbor:"i"`
	Since      uint64              `cbor:"s"`
	Reductions []granter.Reduction `cbor:"c,omitempty"`
	Demand     map[string]float64  `cbor:"d,omitempty"`
	// Surrender returns the leased parts of all grants before a shutdown.
	Surrender bool `cbor:"u,omitempty"`
}

// SyncAnswer carries the grants of the instance that changed after Since, as of
// the log index Index.
type SyncAnswer struct {
	// Renewed means that the lease is renewed. It runs from when the instance
	// sent the query.
	Renewed bool            `cbor:"r"`
	Index   uint64          `cbor:"x"`
	Grants  []granter.Grant `cbor:"g,omitempty"`
}

// Register adds the keeper's calls to a mux, each with the roles that may make
// it.
func (k *Keeper) Register(mux *messenger.Mux) {
	keepersOnly := []certifier.Role{certifier.RoleKeeper}
	entryInstancesOnly := []certifier.Role{certifier.RoleGate}
	messenger.Handle(mux, methodReplicate, keepersOnly, k.serveReplicate)
	messenger.Handle(mux, methodPropose, keepersOnly, k.servePropose)
	messenger.Handle(mux, methodRead, keepersOnly, k.serveRead)
	messenger.Handle(mux, methodStore, keepersOnly, k.serveStore)
	messenger.Handle(mux, methodFound, keepersOnly, k.serveFound)
	messenger.Handle(mux, methodAdmit, keepersOnly, k.serveAdmit)
	messenger.Handle(mux, methodRevoke, keepersOnly, k.serveRevoke)
	messenger.Handle(mux, methodOrder, keepersOnly, k.serveOrder)
	messenger.Handle(mux, MethodNumber, entryInstancesOnly, k.serveNumber)
	messenger.Handle(mux, MethodWatch, entryInstancesOnly, k.serveWatch)
	messenger.Handle(mux, MethodSync, entryInstancesOnly, k.serveSync)
	messenger.Handle(mux, MethodClaim, entryInstancesOnly, k.serveClaim)
}

// groupByName returns a group that this keeper may be a member of: the control
// group or the claim group of its region.
func (k *Keeper) groupByName(name string) (*replicator.Group, error) {
	switch name {
	case controlGroupName:
		return k.controlGroup, nil
	case claimGroupPrefix + k.settings.Region:
		return k.claimGroup, nil
	}
	return nil, trace.NotFound("no group %q here", name)
}

func (k *Keeper) serveReplicate(_ context.Context, from certifier.Identity, query replicateQuery) (replicateAnswer, error) {
	group, err := k.groupByName(query.Group)
	if err != nil {
		return replicateAnswer{}, err
	}
	k.transport.recordSender(query.Store, from.Name)
	return replicateAnswer{}, group.Deliver(query.Frame)
}

func (k *Keeper) servePropose(ctx context.Context, _ certifier.Identity, query proposeQuery) (proposeAnswer, error) {
	group, err := k.groupByName(query.Group)
	if err != nil {
		return proposeAnswer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	outcome, err := k.proposeHere(ctx, group, query.Data)
	if err != nil {
		return proposeAnswer{}, err
	}
	data, err := cbor.Marshal(outcome)
	return proposeAnswer{Outcome: data}, trace.Wrap(err)
}

func (k *Keeper) serveRead(ctx context.Context, _ certifier.Identity, _ readQuery) (readAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := k.controlGroup.Read(ctx); err != nil {
		return readAnswer{}, err
	}
	return readAnswer{Index: k.controlGroup.Status().Applied}, nil
}

// propose commits an entry to a group's log and returns the state machine's
// outcome. A follower forwards the proposal to the leader. The error is
// ErrNoQuorum when no leader is known, and ErrLost when it is unknown whether
// the entry was committed. R must be the type of the outcome.
func propose[R any](ctx context.Context, k *Keeper, group *replicator.Group, groupName string, entry any) (R, error) {
	var result R
	data, err := cbor.Marshal(entry)
	if err != nil {
		return result, trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if group.IsLeader() {
		outcome, err := k.proposeHere(ctx, group, data)
		if err != nil {
			return result, trace.Wrap(err)
		}
		return outcome.(R), nil
	}
	leader, known := group.Leader()
	if !known {
		return result, trace.Wrap(ErrNoQuorum)
	}
	endpoint, known := k.keeperEndpoint(leader.Name)
	if !known {
		return result, trace.Wrap(ErrNoQuorum)
	}
	answer, err := messenger.Call[proposeQuery, proposeAnswer](ctx, k.client, endpoint, methodPropose, proposeQuery{Group: groupName, Data: data})
	if errors.Is(err, messenger.ErrUnreachable) {
		return result, trace.Wrap(ErrLost, "%v", err)
	}
	if err != nil {
		return result, trace.Wrap(err)
	}
	return result, trace.Wrap(decoder.Message(answer.Outcome, &result))
}

// proposeHere proposes an entry to a group that this keeper leads. A drain is proposed only
// if it is not outdated.
func (k *Keeper) proposeHere(ctx context.Context, group *replicator.Group, data []byte) (any, error) {
	var c command
	if group != k.controlGroup || decoder.Stored(data, &c) != nil || c.After == nil || c.Table == nil || c.Table.Drain == nil {
		return group.Propose(ctx, data)
	}
	return group.ProposeIf(ctx, c.Table.Drain.Name, func() bool { return !k.controlState.isOutdated(c) }, data)
}

// serveClaim commits a command of the region's claim group. Outcomes and releases
// of claims are always recorded, also after their workspace's home has moved.
func (k *Keeper) serveClaim(ctx context.Context, _ certifier.Identity, query claimer.Command) (claimer.Outcome, error) {
	if claim := query.Claim; claim != nil {
		if err := k.checkClaimHome(*claim); err != nil {
			return claimer.Outcome{}, err
		}
	}
	return propose[claimer.Outcome](ctx, k, k.claimGroup, claimGroupPrefix+k.settings.Region, query)
}

// checkClaimHome returns ErrHomeElsewhere if the workspace of a claim is bound to
// another region, unless the claim was proposed by a newer configuration than this
// keeper has.
func (k *Keeper) checkClaimHome(claim claimer.Claim) error {
	var home string
	var revision tabler.Revision
	k.controlState.view(func(state *tabler.State, _ *granter.Ledger, _ uint64) {
		home, revision = state.Workspaces[claim.Key.Workspace].Value.HomeRegion, state.Revision
	})
	if home == "" || home == k.settings.Region || claim.Revision > revision {
		return nil
	}
	return trace.Wrap(ErrHomeElsewhere, "workspace %s is bound to region %s in revision %d; the claim was made by revision %d",
		claim.Key.Workspace, home, revision, claim.Revision)
}

func (k *Keeper) serveWatch(ctx context.Context, from certifier.Identity, query watcher.Query) (watcher.Update, error) {
	if from.Name != query.Entry.Name {
		return watcher.Update{}, trace.AccessDenied("%q may not speak for %q", from.Name, query.Entry.Name)
	}
	k.recordReports(query)
	return watcher.Await(ctx, k, query), nil
}

// UpdateFor implements [watcher.Source]. The revocations in the update are those
// that the asker lacks and that the log does not carry yet.
func (k *Keeper) UpdateFor(query watcher.Query) (watcher.Update, bool) {
	update := watcher.Update{Region: k.settings.Region}
	newer := false
	k.controlState.view(func(state *tabler.State, _ *granter.Ledger, _ uint64) {
		if query.Entry.Revision < state.Revision {
			update.Delta = state.Delta(query.Entry.Revision)
			newer = true
		}
		update.KeeperlessRegions = k.regionsWithoutKeeper(state)
		for _, id := range k.revocations.unseen(query.Revoked) {
			if !state.Keys[id].Value.Withdrawn {
				update.Revoked = append(update.Revoked, id)
			}
		}
	})
	return update, newer || len(update.Revoked) > 0
}

// regionsWithoutKeeper returns the regions that have no keeper. An answer from any
// keeper with a leader counts as contact with them, because withdrawals of their
// keys pass through the quorum. It returns nil while no leader is known here.
func (k *Keeper) regionsWithoutKeeper(state *tabler.State) []string {
	if _, hasLeader := k.controlGroup.Leader(); !hasLeader {
		return nil
	}
	var regions []string
	for _, region := range state.Tables().Regions {
		if !k.regionHasKeeper(region.Name) {
			regions = append(regions, region.Name)
		}
	}
	return regions
}

func (k *Keeper) regionHasKeeper(region string) bool {
	for _, keeper := range k.settings.Keepers {
		if keeper.Region == region {
			return true
		}
	}
	return false
}
