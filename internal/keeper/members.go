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

type storeQuery struct{}

// storeAnswer tells what a keeper's disk is.
type storeAnswer struct {
	Store   replicator.StoreID  `cbor:"s"`
	Control []replicator.Member `cbor:"c"`
	Claims  []replicator.Member `cbor:"l"`
}

// foundQuery makes a keeper a first member.
type foundQuery struct {
	Control []replicator.Member `cbor:"c,omitempty"`
	Claims  []replicator.Member `cbor:"l,omitempty"`
}

type foundAnswer struct{}

// admitQuery gives a member's name a new store in a group.
type admitQuery struct {
	Group string             `cbor:"g"`
	Name  string             `cbor:"n"`
	Store replicator.StoreID `cbor:"s"`
}

type admitAnswer struct{}

func (k *Keeper) serveStore(context.Context, certifier.Identity, storeQuery) (storeAnswer, error) {
	return storeAnswer{
		Store:   k.identity.Store,
		Control: k.control.Status().Members,
		Claims:  k.claims.Status().Members,
	}, nil
}

func (k *Keeper) serveFound(ctx context.Context, _ certifier.Identity, query foundQuery) (foundAnswer, error) {
	if query.Control != nil {
		if err := k.control.Found(ctx, query.Control); err != nil {
			return foundAnswer{}, err
		}
	}
	if query.Claims == nil {
		return foundAnswer{}, nil
	}
	return foundAnswer{}, k.claims.Found(ctx, query.Claims)
}

func (k *Keeper) serveAdmit(ctx context.Context, _ certifier.Identity, query admitQuery) (admitAnswer, error) {
	group, err := k.group(query.Group)
	if err != nil {
		return admitAnswer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return admitAnswer{}, group.Admit(ctx, query.Name, query.Store)
}

// Found makes the keepers of the settings the first members of the control
// group and of their regions' claim groups. It changes nothing unless every
// keeper answers and none belongs to other groups.
func (k *Keeper) Found(ctx context.Context) error {
	stores, err := k.stores(ctx)
	if err != nil {
		return err
	}
	plans := k.foundings(stores)
	for name, store := range stores {
		plan := plans[name]
		if len(store.Control) > 0 && !slices.Equal(store.Control, plan.Control) {
			return trace.AlreadyExists("keeper %s belongs to other groups already", name)
		}
	}
	for name, plan := range plans {
		endpoint, _ := k.endpoint(name)
		if _, err := messenger.Call[foundQuery, foundAnswer](ctx, k.client, endpoint, methodFound, plan); err != nil {
			return trace.Wrap(err, "keeper %s", name)
		}
	}
	return nil
}

func (k *Keeper) stores(ctx context.Context) (map[string]storeAnswer, error) {
	stores := map[string]storeAnswer{}
	var missing []string
	for _, keeper := range k.settings.Keepers {
		endpoint := messenger.Endpoint{Name: keeper.Name, Address: keeper.Address}
		store, err := messenger.Call[storeQuery, storeAnswer](ctx, k.client, endpoint, methodStore, storeQuery{})
		if err != nil {
			missing = append(missing, keeper.Name)
			continue
		}
		stores[keeper.Name] = store
	}
	if len(missing) > 0 {
		return nil, trace.Wrap(messenger.ErrUnreachable, "keepers %s", strings.Join(missing, ", "))
	}
	return stores, nil
}

func (k *Keeper) foundings(stores map[string]storeAnswer) map[string]foundQuery {
	var control []replicator.Member
	claims := map[string][]replicator.Member{}
	for _, keeper := range k.settings.Keepers {
		member := replicator.Member{Name: keeper.Name, Store: stores[keeper.Name].Store, Voter: true}
		control = append(control, member)
		claims[keeper.Region] = append(claims[keeper.Region], member)
	}
	plans := map[string]foundQuery{}
	for _, keeper := range k.settings.Keepers {
		plans[keeper.Name] = foundQuery{Control: control, Claims: claims[keeper.Region]}
	}
	return plans
}

// Readmit gives a keeper that lost its disk a place again. When its region
// has no other keeper, the claims of that region are lost with the disk: the
// operator must accept that, and bookings made before may run again.
func (k *Keeper) Readmit(ctx context.Context, name string, acceptLostClaims bool) error {
	endpoint, known := k.endpoint(name)
	if !known {
		return trace.NotFound("the settings name no keeper %q", name)
	}
	store, err := messenger.Call[storeQuery, storeAnswer](ctx, k.client, endpoint, methodStore, storeQuery{})
	if err != nil {
		return trace.Wrap(err)
	}
	region, others := k.neighbours(name)
	if len(others) == 0 && len(store.Claims) == 0 && !acceptLostClaims {
		return trace.BadParameter("no other keeper in %s holds its claims: they are lost; use --accept-lost-claims to go on", region)
	}
	if err := k.admit(ctx, controlGroup, []string{k.settings.Name}, name, store.Store); err != nil {
		return err
	}
	if len(store.Claims) > 0 {
		return nil
	}
	if len(others) > 0 {
		return k.admit(ctx, claimGroupPrefix+region, others, name, store.Store)
	}
	only := []replicator.Member{{Name: name, Store: store.Store, Voter: true}}
	_, err = messenger.Call[foundQuery, foundAnswer](ctx, k.client, endpoint, methodFound, foundQuery{Claims: only})
	return trace.Wrap(err)
}

// neighbours returns a keeper's region and the other keepers in it.
func (k *Keeper) neighbours(name string) (region string, others []string) {
	for _, keeper := range k.settings.Keepers {
		if keeper.Name == name {
			region = keeper.Region
		}
	}
	for _, keeper := range k.settings.Keepers {
		if keeper.Region == region && keeper.Name != name {
			others = append(others, keeper.Name)
		}
	}
	return region, others
}

// admit asks the group's leader, wherever it is.
func (k *Keeper) admit(ctx context.Context, group string, first []string, name string, store replicator.StoreID) error {
	asked := slices.Clone(first)
	for _, keeper := range k.settings.Keepers {
		if keeper.Name != name && !slices.Contains(asked, keeper.Name) {
			asked = append(asked, keeper.Name)
		}
	}
	var last error
	for _, candidate := range asked {
		endpoint, _ := k.endpoint(candidate)
		_, err := messenger.Call[admitQuery, admitAnswer](ctx, k.client, endpoint, methodAdmit, admitQuery{Group: group, Name: name, Store: store})
		if err == nil {
			return nil
		}
		if last == nil || !trace.IsNotFound(err) {
			last = err
		}
	}
	return trace.Wrap(last)
}
