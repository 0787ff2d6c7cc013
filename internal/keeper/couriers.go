package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/boragehead/boragehead/internal/carrier"
	"github.com/boragehead/boragehead/internal/loader"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/replicator"
)

// The size and the patience of a courier.
const (
	courierRing    = 256
	courierTimeout = 2 * time.Second
)

// replicateQuery carries one message of a group.
type replicateQuery struct {
	Group string             `cbor:"g"`
	Store replicator.StoreID `cbor:"s"`
	Frame []byte             `cbor:"f"`
}

type replicateAnswer struct{}

// couriers carry the groups' messages: a goroutine and a ring for each other
// keeper. When a ring is full its messages are lost, as on any network.
type couriers struct {
	self   string
	store  replicator.StoreID
	client *messenger.Client
	rings  map[string]*carrier.Ring[replicateQuery]
	ends   map[string]messenger.Endpoint

	mu sync.Mutex
	// names tells which keeper a store was last heard from.
	names map[replicator.StoreID]string
}

func newCouriers(settings loader.KeeperProcess, store replicator.StoreID, client *messenger.Client) *couriers {
	c := &couriers{
		self:   settings.Name,
		store:  store,
		client: client,
		rings:  map[string]*carrier.Ring[replicateQuery]{},
		ends:   map[string]messenger.Endpoint{},
		names:  map[replicator.StoreID]string{},
	}
	for _, keeper := range settings.Keepers {
		if keeper.Name == settings.Name {
			continue
		}
		c.rings[keeper.Name] = carrier.NewRing[replicateQuery](courierRing)
		c.ends[keeper.Name] = messenger.Endpoint{Name: keeper.Name, Address: keeper.Address}
	}
	return c
}

// Carry implements replicator.Transport.
func (c *couriers) Carry(to replicator.Member, group string, frame []byte) {
	name := to.Name
	if name == "" {
		c.mu.Lock()
		name = c.names[to.Store]
		c.mu.Unlock()
	}
	if ring, known := c.rings[name]; known {
		_ = ring.Offer(replicateQuery{Group: group, Store: c.store, Frame: frame})
	}
}

// heard notes which keeper a store's message came from.
func (c *couriers) heard(store replicator.StoreID, name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.names[store] = name
}

func (c *couriers) duties() []Duty {
	var duties []Duty
	for name, ring := range c.rings {
		duties = append(duties, Duty{
			Name: "courier-" + name,
			Run:  func(ctx context.Context) error { return c.run(ctx, c.ends[name], ring) },
		})
	}
	return duties
}

// run sends what a ring holds, in order.
func (c *couriers) run(ctx context.Context, to messenger.Endpoint, ring *carrier.Ring[replicateQuery]) error {
	window := messenger.Window{Limit: courierRing, Patience: courierTimeout}
	for {
		query, err := ring.Take(ctx)
		if err != nil {
			return nil
		}
		messenger.SendThrough(ctx, &window, c.client, to, methodReplicate, query)
	}
}
