package controller

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/carrier"
	"github.com/boragehead/boragehead/internal/compressor"
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
	// minCompressedBytes is the size from which messages are compressed: a large
	// definition must not hold up the heartbeats behind it on a narrow link.
	minCompressedBytes = 4 << 10
	// maxDecompressedBytes bounds a message that is sent compressed.
	maxDecompressedBytes = 256 << 20
)

// replicateQuery carries one message of the replication group.
type replicateQuery struct {
	// Sender is the peer address of the sending process.
	Sender string             `cbor:"a"`
	Store  replicator.StoreID `cbor:"s"`
	// Frame is the message, unless Compressed holds it.
	Frame      []byte                 `cbor:"f"`
	Compressed *compressor.Compressed `cbor:"c,omitempty"`
	// AcceptsCompressed means that the sender's process decompresses messages that
	// are sent to it; one of an earlier release does not.
	AcceptsCompressed bool `cbor:"d,omitempty"`
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
	// acceptsCompressed holds, by peer address, whether the last message from there
	// said so.
	acceptsCompressed map[string]bool
	senders           sync.WaitGroup
}

func newTransport(selfAddress string, store replicator.StoreID, client *messenger.Client) *transport {
	return &transport{
		selfAddress: selfAddress, store: store, client: client,
		queuesByAddress:   map[string]*carrier.Ring[replicateQuery]{},
		addressesByStore:  map[replicator.StoreID]string{},
		acceptsCompressed: map[string]bool{},
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
	_ = queue.TryPut(replicateQuery{Sender: t.selfAddress, Store: t.store, Frame: frame, AcceptsCompressed: true})
}

// parseEndpoint returns the endpoint of the process at a peer address.
func parseEndpoint(address string) (messenger.Endpoint, error) {
	parsed, err := netip.ParseAddrPort(address)
	return messenger.Endpoint{Name: address, Address: parsed}, err
}

// recordSender stores the peer address that a store's message came from, and
// whether compressed messages may be sent there.
func (t *transport) recordSender(query replicateQuery) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addressesByStore[query.Store] = query.Sender
	t.acceptsCompressed[query.Sender] = query.AcceptsCompressed
}

// compress returns data in compressed form if it is large and the process at its
// destination accepts that; otherwise nil.
func (t *transport) compress(address string, data []byte) *compressor.Compressed {
	t.mu.Lock()
	accepted := t.acceptsCompressed[address]
	t.mu.Unlock()
	if !accepted || len(data) < minCompressedBytes || len(data) > maxDecompressedBytes {
		return nil
	}
	compressed, err := compressor.Compress(data, nil)
	if err != nil {
		klog.ErrorS(err, "cannot compress message; it is sent as it is", "to", address, "bytes", len(data))
		return nil
	}
	return &compressed
}

// decompress returns the data of a message that has it either plain or compressed.
func decompress(plain []byte, compressed *compressor.Compressed) ([]byte, error) {
	if compressed == nil {
		return plain, nil
	}
	return compressor.Decompress(*compressed, nil, maxDecompressedBytes)
}

// sendQueued sends the messages of a queue in order until the context ends.
func (t *transport) sendQueued(ctx context.Context, to messenger.Endpoint, queue *carrier.Ring[replicateQuery]) {
	window := messenger.Window{Limit: sendQueueSize, Timeout: sendTimeout}
	for {
		query, err := queue.Take(ctx)
		if err != nil {
			return
		}
		if query.Compressed = t.compress(to.Name, query.Frame); query.Compressed != nil {
			query.Frame = nil
		}
		messenger.SendWindowed(ctx, &window, t.client, to, methodReplicate, query)
	}
}
