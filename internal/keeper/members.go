package keeper

import (
	"context"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/replicator"
)

// storeQuery asks a keeper for the identity and the groups of its store.
type storeQuery struct{}

// storeAnswer names a keeper's store and the members of its groups as the store
// knows them. A store that belongs to no group knows none.
type storeAnswer struct {
	Store          replicator.StoreID  `cbor:"s"`
	ControlMembers []replicator.Member `cbor:"c"`
	ClaimMembers   []replicator.Member `cbor:"l"`
}

// foundQuery makes a keeper a first member of new groups. Members that are not
// set leave that group as it is.
type foundQuery struct {
	ControlMembers []replicator.Member `cbor:"c,omitempty"`
	ClaimMembers   []replicator.Member `cbor:"l,omitempty"`
}

type foundAnswer struct{}

// admitQuery asks the leader of a group to replace the store of the named
// member.
type admitQuery struct {
	Group string             `cbor:"g"`
	Name  string             `cbor:"n"`
	Store replicator.StoreID `cbor:"s"`
}

type admitAnswer struct{}

func (k *Keeper) serveStore(context.Context, certifier.Identity, storeQuery) (storeAnswer, error) {
	return storeAnswer{
		Store:          k.identity.Store,
		ControlMembers: k.controlGroup.Status().Members,
		ClaimMembers:   k.claimGroup.Status().Members,
	}, nil
}

func (k *Keeper) serveFound(ctx context.Context, _ certifier.Identity, query foundQuery) (foundAnswer, error) {
	if query.ControlMembers != nil {
		if err := k.controlGroup.Bootstrap(ctx, query.ControlMembers); err != nil {
			return foundAnswer{}, err
		}
	}
	if query.ClaimMembers == nil {
		return foundAnswer{}, nil
	}
	return foundAnswer{}, k.claimGroup.Bootstrap(ctx, query.ClaimMembers)
}

func (k *Keeper) serveAdmit(ctx context.Context, _ certifier.Identity, query admitQuery) (admitAnswer, error) {
	group, err := k.groupByName(query.Group)
	if err != nil {
		return admitAnswer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return admitAnswer{}, group.Admit(ctx, query.Name, query.Store)
}

// FoundGroups makes the keepers in the settings the first members of the control
// group and of their regions' claim groups. It changes nothing unless every keeper
// answers and none is a member of a control group with other members. It may be
// repeated after a partial failure.
func (k *Keeper) FoundGroups(ctx context.Context) error {
	stores, err := k.queryStores(ctx)
	if err != nil {
		return err
	}
	queries := k.foundQueries(stores)
	for name, store := range stores {
		query := queries[name]
		if len(store.ControlMembers) > 0 && !slices.Equal(store.ControlMembers, query.ControlMembers) {
			return trace.AlreadyExists("keeper %s belongs to other groups already", name)
		}
	}
	for name, query := range queries {
		endpoint, _ := k.keeperEndpoint(name)
		if _, err := messenger.Call[foundQuery, foundAnswer](ctx, k.client, endpoint, methodFound, query); err != nil {
			return trace.Wrap(err, "keeper %s", name)
		}
	}
	return nil
}

// queryStores asks all keepers in the settings for their stores, by keeper name.
// It fails with messenger.ErrUnreachable unless every keeper answers.
func (k *Keeper) queryStores(ctx context.Context) (map[string]storeAnswer, error) {
	stores := map[string]storeAnswer{}
	var unreachable []string
	for _, keeper := range k.settings.Keepers {
		endpoint := messenger.Endpoint{Name: keeper.Name, Address: keeper.Address}
		store, err := messenger.Call[storeQuery, storeAnswer](ctx, k.client, endpoint, methodStore, storeQuery{})
		if err != nil {
			unreachable = append(unreachable, keeper.Name)
			continue
		}
		stores[keeper.Name] = store
	}
	if len(unreachable) > 0 {
		return nil, trace.Wrap(messenger.ErrUnreachable, "keepers %s", strings.Join(unreachable, ", "))
	}
	return stores, nil
}

// foundQueries returns the query that founds the groups of each keeper, by
// keeper name.
func (k *Keeper) foundQueries(stores map[string]storeAnswer) map[string]foundQuery {
	var controlMembers []replicator.Member
	claimMembers := map[string][]replicator.Member{}
	for _, keeper := range k.settings.Keepers {
		member := replicator.Member{Name: keeper.Name, Store: stores[keeper.Name].Store, Voter: true}
		controlMembers = append(controlMembers, member)
		claimMembers[keeper.Region] = append(claimMembers[keeper.Region], member)
	}
	queries := map[string]foundQuery{}
	for _, keeper := range k.settings.Keepers {
		queries[keeper.Name] = foundQuery{ControlMembers: controlMembers, ClaimMembers: claimMembers[keeper.Region]}
	}
	return queries
}

// Readmit makes a keeper that lost its disk a member of its groups again, with
// its new store. When its region has no other keeper, the claims of that region
// were lost with the disk. The operator must accept that: requests that ran
// before under an idempotency key may run again.
func (k *Keeper) Readmit(ctx context.Context, name string, acceptLostClaims bool) error {
	endpoint, known := k.keeperEndpoint(name)
	if !known {
		return trace.NotFound("the settings name no keeper %q", name)
	}
	store, err := messenger.Call[storeQuery, storeAnswer](ctx, k.client, endpoint, methodStore, storeQuery{})
	if err != nil {
		return trace.Wrap(err)
	}
	region, peers := k.regionAndPeers(name)
	if len(peers) == 0 && len(store.ClaimMembers) == 0 && !acceptLostClaims {
		return trace.BadParameter("no other keeper in %s holds its claims: they are lost; use --accept-lost-claims to go on", region)
	}
	if err := k.requestAdmission(ctx, controlGroupName, []string{k.settings.Name}, name, store.Store); err != nil {
		return err
	}
	if len(store.ClaimMembers) > 0 {
		return nil
	}
	if len(peers) > 0 {
		return k.requestAdmission(ctx, claimGroupPrefix+region, peers, name, store.Store)
	}
	members := []replicator.Member{{Name: name, Store: store.Store, Voter: true}}
	_, err = messenger.Call[foundQuery, foundAnswer](ctx, k.client, endpoint, methodFound, foundQuery{ClaimMembers: members})
	return trace.Wrap(err)
}

// regionAndPeers returns a keeper's region and the other keepers in it.
func (k *Keeper) regionAndPeers(name string) (region string, peers []string) {
	for _, keeper := range k.settings.Keepers {
		if keeper.Name == name {
			region = keeper.Region
		}
	}
	for _, keeper := range k.settings.Keepers {
		if keeper.Region == region && keeper.Name != name {
			peers = append(peers, keeper.Name)
		}
	}
	return region, peers
}

// requestAdmission asks the leader of a group to admit a keeper's new store.
// Which keeper leads is not known here, so it tries all others in turn, the
// preferred ones first. An answer that a keeper has no such group does not
// replace an earlier error, which tells more.
func (k *Keeper) requestAdmission(ctx context.Context, group string, preferred []string, name string, store replicator.StoreID) error {
	candidates := slices.Clone(preferred)
	for _, keeper := range k.settings.Keepers {
		if keeper.Name != name && !slices.Contains(candidates, keeper.Name) {
			candidates = append(candidates, keeper.Name)
		}
	}
	var lastErr error
	for _, candidate := range candidates {
		endpoint, _ := k.keeperEndpoint(candidate)
		_, err := messenger.Call[admitQuery, admitAnswer](ctx, k.client, endpoint, methodAdmit, admitQuery{Group: group, Name: name, Store: store})
		if err == nil {
			return nil
		}
		if lastErr == nil || !trace.IsNotFound(err) {
			lastErr = err
		}
	}
	return trace.Wrap(lastErr)
}
