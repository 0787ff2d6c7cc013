package keeper

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/claimer"
	"github.com/boragehead/boragehead/internal/granter"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/replicator"
	"github.com/boragehead/boragehead/internal/tabler"
	"github.com/boragehead/boragehead/internal/watcher"
)

// Errors of the keepers that keep their meaning over a call.
var (
	// ErrNoQuorum means that no leader can be reached from here.
	ErrNoQuorum = messenger.RegisterError("no-quorum", errors.New("no quorum of keepers can be reached"))
	// ErrNotLeader means that another keeper must be asked.
	ErrNotLeader = messenger.RegisterError("not-leader", replicator.ErrNotLeader)
	// ErrLost means that the outcome of a change is not known.
	ErrLost = messenger.RegisterError("outcome-unknown", replicator.ErrLost)
)

// The names of the keepers' calls.
const (
	methodReplicate = "replicate"
	methodPropose   = "propose"
	methodRead      = "read"
	methodStore     = "store"
	methodFound     = "found"
	methodRevoke    = "revoke"
	methodAdmit     = "admit"
)

// The calls that entry instances make.
const (
	MethodWatch = "watch"
	MethodSync  = "sync"
	MethodClaim = "claim"
)

// callTimeout bounds what a keeper does for one call.
const callTimeout = 3 * time.Second

// proposeQuery passes a proposal on to the leader of a group.
type proposeQuery struct {
	Group string `cbor:"g"`
	Data  []byte `cbor:"d"`
}

// proposeAnswer carries the state machine's outcome.
type proposeAnswer struct {
	Outcome []byte `cbor:"o"`
}

type readQuery struct{}

type readAnswer struct {
	Index replicator.Index `cbor:"i"`
}

// SyncQuery is a holder's report to the ledger.
type SyncQuery struct {
	Instance granter.Instance   `cbor:"i"`
	Since    uint64             `cbor:"s"`
	Consents []granter.Consent  `cbor:"c,omitempty"`
	Demand   map[string]float64 `cbor:"d,omitempty"`
	// Surrender hands the leased parts back before a shutdown.
	Surrender bool `cbor:"u,omitempty"`
}

// SyncAnswer tells a holder its grants.
type SyncAnswer struct {
	// Renewed means that the lease holds from when the holder asked.
	Renewed bool            `cbor:"r"`
	Index   uint64          `cbor:"x"`
	Grants  []granter.Grant `cbor:"g,omitempty"`
}

// Register adds the keeper's calls to a mux.
func (k *Keeper) Register(mux *messenger.Mux) {
	keepers := []certifier.Role{certifier.RoleKeeper}
	gates := []certifier.Role{certifier.RoleGate}
	messenger.Handle(mux, methodReplicate, keepers, k.serveReplicate)
	messenger.Handle(mux, methodPropose, keepers, k.servePropose)
	messenger.Handle(mux, methodRead, keepers, k.serveRead)
	messenger.Handle(mux, methodStore, keepers, k.serveStore)
	messenger.Handle(mux, methodFound, keepers, k.serveFound)
	messenger.Handle(mux, methodAdmit, keepers, k.serveAdmit)
	messenger.Handle(mux, methodRevoke, keepers, k.serveRevoke)
	messenger.Handle(mux, methodOrder, keepers, k.serveOrder)
	messenger.Handle(mux, MethodNumber, gates, k.serveNumber)
	messenger.Handle(mux, MethodWatch, gates, k.serveWatch)
	messenger.Handle(mux, MethodSync, gates, k.serveSync)
	messenger.Handle(mux, MethodClaim, gates, k.serveClaim)
}

func (k *Keeper) group(name string) (*replicator.Group, error) {
	switch name {
	case controlGroup:
		return k.control, nil
	case claimGroupPrefix + k.settings.Region:
		return k.claims, nil
	}
	return nil, trace.NotFound("no group %q here", name)
}

func (k *Keeper) serveReplicate(_ context.Context, from certifier.Identity, query replicateQuery) (replicateAnswer, error) {
	group, err := k.group(query.Group)
	if err != nil {
		return replicateAnswer{}, err
	}
	k.couriers.heard(query.Store, from.Name)
	return replicateAnswer{}, group.Deliver(query.Frame)
}

func (k *Keeper) servePropose(ctx context.Context, _ certifier.Identity, query proposeQuery) (proposeAnswer, error) {
	group, err := k.group(query.Group)
	if err != nil {
		return proposeAnswer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	outcome, err := group.Propose(ctx, query.Data)
	if err != nil {
		return proposeAnswer{}, err
	}
	data, err := cbor.Marshal(outcome)
	return proposeAnswer{Outcome: data}, trace.Wrap(err)
}

func (k *Keeper) serveRead(ctx context.Context, _ certifier.Identity, _ readQuery) (readAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := k.control.Read(ctx); err != nil {
		return readAnswer{}, err
	}
	return readAnswer{Index: k.control.Status().Applied}, nil
}

// propose puts a command through a group's log, by way of its leader.
func propose[R any](ctx context.Context, k *Keeper, group *replicator.Group, name string, c any) (R, error) {
	var result R
	data, err := cbor.Marshal(c)
	if err != nil {
		return result, trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if group.Leads() {
		outcome, err := group.Propose(ctx, data)
		if err != nil {
			return result, trace.Wrap(err)
		}
		return outcome.(R), nil
	}
	leader, known := group.Leader()
	if !known {
		return result, trace.Wrap(ErrNoQuorum)
	}
	endpoint, known := k.endpoint(leader.Name)
	if !known {
		return result, trace.Wrap(ErrNoQuorum)
	}
	answer, err := messenger.Call[proposeQuery, proposeAnswer](ctx, k.client, endpoint, methodPropose, proposeQuery{Group: name, Data: data})
	if errors.Is(err, messenger.ErrUnreachable) {
		return result, trace.Wrap(ErrLost, "%v", err)
	}
	if err != nil {
		return result, trace.Wrap(err)
	}
	return result, trace.Wrap(cbor.Unmarshal(answer.Outcome, &result))
}

func (k *Keeper) serveClaim(ctx context.Context, _ certifier.Identity, query claimer.Command) (claimer.Outcome, error) {
	return propose[claimer.Outcome](ctx, k, k.claims, claimGroupPrefix+k.settings.Region, query)
}

func (k *Keeper) serveWatch(ctx context.Context, from certifier.Identity, query watcher.Query) (watcher.News, error) {
	if from.Name != query.Entry.Name {
		return watcher.News{}, trace.AccessDenied("%q may not speak for %q", from.Name, query.Entry.Name)
	}
	k.contact(query)
	return watcher.Await(ctx, k, query), nil
}

// News implements watcher.Source.
func (k *Keeper) News(query watcher.Query) (watcher.News, bool) {
	news := watcher.News{Region: k.settings.Region}
	fresh := false
	k.machine.view(func(state *tabler.State, _ *granter.Ledger, _ uint64) {
		if query.Entry.Revision < state.Revision {
			news.Delta = state.Delta(query.Entry.Revision)
			fresh = true
		}
		news.Vouched = k.vouched(state)
		for _, id := range k.revoked.missing(query.Revoked) {
			if !state.Keys[id].Value.Withdrawn {
				news.Revoked = append(news.Revoked, id)
			}
		}
	})
	return news, fresh || len(news.Revoked) > 0
}

// vouched returns the regions without keepers, while a quorum is in contact:
// withdrawals made there pass through that quorum.
func (k *Keeper) vouched(state *tabler.State) []string {
	if _, led := k.control.Leader(); !led {
		return nil
	}
	var regions []string
	for _, region := range state.Tables().Regions {
		if !k.hasKeeper(region.Name) {
			regions = append(regions, region.Name)
		}
	}
	return regions
}

func (k *Keeper) hasKeeper(region string) bool {
	for _, keeper := range k.settings.Keepers {
		if keeper.Region == region {
			return true
		}
	}
	return false
}
