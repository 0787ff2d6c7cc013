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

// Limits of the transport.
const (
	// sendQueueSize bounds the messages that wait for one destination, and those
	// sent to it without confirmation.
	sendQueueSize = 256
	// sendTimeout is how long a message may remain unconfirmed before its
	// connection is closed.
	sendTimeout = 1500 * time.Millisecond
)

// replicateQuery carries one message of the replication group.
type replicateQuery struct {
	// Sender is the peer address of the sending process.
	Sender string             `cbor:"a"`
	Store  replicator.StoreID `cbor:"s"`
	Frame  []byte             `cbor:"f"`
}

type replicateAnswer struct{}

// transport sends the messages of the replication group. Each destination has a
// bounded queue and a goroutine, created with the first message to it. When a
// queue is full, new messages for it are dropped, as a network may do. It is
// safe for concurrent use.
type transport struct {
	selfAddress string
	store       replicator.StoreID
	client      *messenger.Client

	mu sync.Mutex
	// ctx is nil until run starts; messages before that are dropped.
	ctx             context.Context
	queuesByAddress map[string]*carrier.Ring[replicateQuery]
	// addressesByStore holds the peer address that last sent for each store.
	addressesByStore map[replicator.StoreID]string
	senders          sync.WaitGroup
}

func newTransport(selfAddress string, store replicator.StoreID, client *messenger.Client) *transport {
	return &transport{
		selfAddress: selfAddress, store: store, client: client,
		queuesByAddress:  map[string]*carrier.Ring[replicateQuery]{},
		addressesByStore: map[replicator.StoreID]string{},
	}
}

// run enables sending until the context ends, then waits for the goroutines of
// all queues.
func (t *transport) run(ctx context.Context) error {
	t.mu.Lock()
	t.ctx = ctx
	t.mu.Unlock()
	<-ctx.Done()
	t.senders.Wait()
	return nil
}

// Send implements replicator.Transport. A member's name is its peer address; a
// member without a name is reached at the address that its store last sent from.
func (t *transport) Send(to replicator.Member, _ string, frame []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	address := to.Name
	if address == "" {
		address = t.addressesByStore[to.Store]
	}
	if address == "" || t.ctx == nil || t.ctx.Err() != nil {
		return
	}
	queue, known := t.queuesByAddress[address]
	if !known {
		endpoint, err := parseEndpoint(address)
		if err != nil {
			klog.ErrorS(err, "invalid peer address of a group member", "member", address)
			return
		}
		queue = carrier.NewRing[replicateQuery](sendQueueSize)
		t.queuesByAddress[address] = queue
		ctx := t.ctx
		t.senders.Go(func() { t.sendQueued(ctx, endpoint, queue) })
	}
	_ = queue.TryPut(replicateQuery{Sender: t.selfAddress, Store: t.store, Frame: frame})
}

// parseEndpoint returns the endpoint of the process at a peer address.
func parseEndpoint(address string) (messenger.Endpoint, error) {
	parsed, err := netip.ParseAddrPort(address)
	return messenger.Endpoint{Name: address, Address: parsed}, err
}

// recordSender stores the peer address that a store's message came from.
func (t *transport) recordSender(store replicator.StoreID, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addressesByStore[store] = address
}

// sendQueued sends the messages of a queue in order until the context ends.
func (t *transport) sendQueued(ctx context.Context, to messenger.Endpoint, queue *carrier.Ring[replicateQuery]) {
	window := messenger.Window{Limit: sendQueueSize, Timeout: sendTimeout}
	for {
		query, err := queue.Take(ctx)
		if err != nil {
			return
		}
		messenger.SendWindowed(ctx, &window, t.client, to, methodReplicate, query)
	}
}
