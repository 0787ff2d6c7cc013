package controller

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/carrier"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/replicator"
)

// The sizes and times of couriers.
const (
	courierRing = 256
	// courierTimeout is how long a message may be under way before its
	// connection is given up.
	courierTimeout = 1500 * time.Millisecond
)

// replicateQuery carries one message of the group.
type replicateQuery struct {
	// Sender is the peer address of the sending process.
	Sender string             `cbor:"a"`
	Store  replicator.StoreID `cbor:"s"`
	Frame  []byte             `cbor:"f"`
}

type replicateAnswer struct{}

// couriers carry the group's messages: a goroutine and a ring for each other
// control instance, made when the first message goes there. When a ring is full
// its messages are lost, as on any network.
type couriers struct {
	self   string
	store  replicator.StoreID
	client *messenger.Client

	mu    sync.Mutex
	ctx   context.Context
	rings map[string]*carrier.Ring[replicateQuery]
	// addresses tells from where a store was last heard.
	addresses map[replicator.StoreID]string
	wait      sync.WaitGroup
}

func newCouriers(self string, store replicator.StoreID, client *messenger.Client) *couriers {
	return &couriers{
		self: self, store: store, client: client,
		rings:     map[string]*carrier.Ring[replicateQuery]{},
		addresses: map[replicator.StoreID]string{},
	}
}

// run starts carrying, until the context ends.
func (c *couriers) run(ctx context.Context) error {
	c.mu.Lock()
	c.ctx = ctx
	c.mu.Unlock()
	<-ctx.Done()
	c.wait.Wait()
	return nil
}

// Carry implements replicator.Transport. A member's name is its peer address.
func (c *couriers) Carry(to replicator.Member, _ string, frame []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	address := to.Name
	if address == "" {
		address = c.addresses[to.Store]
	}
	if address == "" || c.ctx == nil || c.ctx.Err() != nil {
		return
	}
	ring, known := c.rings[address]
	if !known {
		endpoint, err := endpointOf(address)
		if err != nil {
			klog.ErrorS(err, "member's address not understood", "member", address)
			return
		}
		ring = carrier.NewRing[replicateQuery](courierRing)
		c.rings[address] = ring
		ctx := c.ctx
		c.wait.Go(func() { c.deliver(ctx, endpoint, ring) })
	}
	_ = ring.Offer(replicateQuery{Sender: c.self, Store: c.store, Frame: frame})
}

// endpointOf returns how the process at a peer address is reached.
func endpointOf(address string) (messenger.Endpoint, error) {
	parsed, err := netip.ParseAddrPort(address)
	return messenger.Endpoint{Name: address, Address: parsed}, err
}

// heard notes where a store's message came from.
func (c *couriers) heard(store replicator.StoreID, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses[store] = address
}

// deliver sends what a ring holds, in order.
func (c *couriers) deliver(ctx context.Context, to messenger.Endpoint, ring *carrier.Ring[replicateQuery]) {
	window := messenger.Window{Limit: courierRing, Patience: courierTimeout}
	for {
		query, err := ring.Take(ctx)
		if err != nil {
			return
		}
		messenger.SendThrough(ctx, &window, c.client, to, methodReplicate, query)
	}
}
