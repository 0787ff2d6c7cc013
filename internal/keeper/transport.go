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

const (
	// sendQueueSize is the number of messages that may be queued for one keeper,
	// and of those that may be sent but unconfirmed.
	sendQueueSize = 256
	// sendTimeout is how long a message may stay unconfirmed before the
	// connection to its keeper is reset.
	sendTimeout = 2 * time.Second
)

// replicateQuery carries one replication message of a group. Store is the
// sender's store.
type replicateQuery struct {
	Group string             `cbor:"g"`
	Store replicator.StoreID `cbor:"s"`
	Frame []byte             `cbor:"f"`
}

type replicateAnswer struct{}

// groupTransport sends the replication messages of all groups: one queue and one
// goroutine for each other keeper. Messages for a full queue are dropped; the
// replication protocol tolerates losses as on any network. It is safe for
// concurrent use.
type groupTransport struct {
	self       string
	localStore replicator.StoreID
	client     *messenger.Client
	queues     map[string]*carrier.Ring[replicateQuery]
	endpoints  map[string]messenger.Endpoint

	mu sync.Mutex
	// keeperNames maps a store to the keeper that last sent a message from it.
	keeperNames map[replicator.StoreID]string
}

func newGroupTransport(settings loader.KeeperProcess, store replicator.StoreID, client *messenger.Client) *groupTransport {
	t := &groupTransport{
		self:        settings.Name,
		localStore:  store,
		client:      client,
		queues:      map[string]*carrier.Ring[replicateQuery]{},
		endpoints:   map[string]messenger.Endpoint{},
		keeperNames: map[replicator.StoreID]string{},
	}
	for _, keeper := range settings.Keepers {
		if keeper.Name == settings.Name {
			continue
		}
		t.queues[keeper.Name] = carrier.NewRing[replicateQuery](sendQueueSize)
		t.endpoints[keeper.Name] = messenger.Endpoint{Name: keeper.Name, Address: keeper.Address}
	}
	return t
}

// Send implements [replicator.Transport]. A member without a name is addressed
// through the keeper that last sent a message from the same store.
func (t *groupTransport) Send(to replicator.Member, group string, frame []byte) {
	name := to.Name
	if name == "" {
		t.mu.Lock()
		name = t.keeperNames[to.Store]
		t.mu.Unlock()
	}
	if queue, known := t.queues[name]; known {
		_ = queue.TryPut(replicateQuery{Group: group, Store: t.localStore, Frame: frame})
	}
}

// recordSender records that a message of a store came from the named keeper.
func (t *groupTransport) recordSender(store replicator.StoreID, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.keeperNames[store] = name
}

func (t *groupTransport) tasks() []Task {
	var tasks []Task
	for name, queue := range t.queues {
		tasks = append(tasks, Task{
			Name: "courier-" + name,
			Run:  func(ctx context.Context) error { return t.sendQueued(ctx, t.endpoints[name], queue) },
		})
	}
	return tasks
}

// sendQueued sends the messages of a queue, in order, until the context ends.
func (t *groupTransport) sendQueued(ctx context.Context, to messenger.Endpoint, queue *carrier.Ring[replicateQuery]) error {
	window := messenger.Window{Limit: sendQueueSize, Timeout: sendTimeout}
	for {
		query, err := queue.Take(ctx)
		if err != nil {
			return nil
		}
		messenger.SendWindowed(ctx, &window, t.client, to, methodReplicate, query)
	}
}
