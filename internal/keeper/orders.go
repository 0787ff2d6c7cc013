package keeper

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/orderer"
	"github.com/boragehead/boragehead/internal/replicator"
)

// The calls of orders: an operator's order goes to the leader, the leader asks
// an entry instance to deliver it, and that instance asks the leader for its
// number. An instance that was frozen asks too late and gets none.
const (
	methodOrder   = "order"
	MethodDeliver = "deliver"
	MethodNumber  = "number"
)

// ErrOrderWait means that an earlier order may still be on its way.
var ErrOrderWait = messenger.RegisterError("order-wait", orderer.ErrWait)

// DeliverQuery asks an entry instance to deliver an order.
type DeliverQuery struct {
	ID    uint64        `cbor:"i"`
	Order orderer.Order `cbor:"o"`
}

// DeliverAnswer tells the number under which it was delivered.
type DeliverAnswer struct {
	Number uint64 `cbor:"n" json:"fencing-number"`
}

// NumberQuery asks the leader for the ticket of an open order.
type NumberQuery struct {
	ID uint64 `cbor:"i"`
}

// openOrder is an order that may still be numbered.
type openOrder struct {
	order    orderer.Order
	reserved time.Time
}

// orderBook is the leader's memory of orders in one term.
type orderBook struct {
	term   replicator.Term
	issuer *orderer.Issuer
	open   map[uint64]openOrder
	nextID uint64
}

// orderNumber is the outcome of an order's entry in the log.
type orderNumber uint64

// Order gives an order to a backend server, by way of the leader.
func (k *Keeper) Order(ctx context.Context, order orderer.Order) (DeliverAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, orderer.Lifetime)
	defer cancel()
	if k.control.Leads() {
		return k.issue(ctx, order)
	}
	leader, known := k.control.Leader()
	endpoint, reachable := k.endpoint(leader.Name)
	if !known || !reachable {
		return DeliverAnswer{}, trace.Wrap(ErrNoQuorum)
	}
	return messenger.Call[orderer.Order, DeliverAnswer](ctx, k.client, endpoint, methodOrder, order)
}

func (k *Keeper) serveOrder(ctx context.Context, _ certifier.Identity, order orderer.Order) (DeliverAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, orderer.Lifetime)
	defer cancel()
	return k.issue(ctx, order)
}

// issue opens an order and has it delivered by an entry instance of its
// failure domain.
func (k *Keeper) issue(ctx context.Context, order orderer.Order) (DeliverAnswer, error) {
	if err := k.control.Read(ctx); err != nil {
		return DeliverAnswer{}, err
	}
	id, err := k.openOrder(order)
	if err != nil {
		return DeliverAnswer{}, err
	}
	defer k.closeOrder(id)
	last := error(trace.NotFound("no instance of failure domain %q has been heard", order.FailureDomain))
	for _, c := range k.recentContacts() {
		if c.entry.FailureDomain != order.FailureDomain || time.Since(c.heard) > orderer.Lifetime {
			continue
		}
		to := messenger.Endpoint{Name: c.entry.Name, Address: c.entry.Peer}
		answer, err := messenger.Call[DeliverQuery, DeliverAnswer](ctx, k.client, to, MethodDeliver, DeliverQuery{ID: id, Order: order})
		if err == nil {
			return answer, nil
		}
		last = err
		if !errors.Is(err, messenger.ErrUnreachable) {
			break
		}
	}
	return DeliverAnswer{}, trace.Wrap(last)
}

// openOrder reserves the server for an order in this leadership.
func (k *Keeper) openOrder(order orderer.Order) (uint64, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	status := k.control.Status()
	if status.Role != replicator.Leader {
		return 0, ErrNotLeader
	}
	if k.orders.term != status.Term {
		k.orders = orderBook{term: status.Term, issuer: orderer.NewIssuer(now), open: map[uint64]openOrder{}}
	}
	wait, err := k.orders.issuer.Reserve(now, order)
	if err != nil {
		return 0, trace.Wrap(err, "come back in %s", wait.Round(time.Second))
	}
	k.orders.nextID++
	k.orders.open[k.orders.nextID] = openOrder{order: order, reserved: now}
	return k.orders.nextID, nil
}

func (k *Keeper) closeOrder(id uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.orders.open, id)
}

// serveNumber gives an open order its number. The age that it tells counts
// from when the order was reserved.
func (k *Keeper) serveNumber(ctx context.Context, _ certifier.Identity, query NumberQuery) (orderer.Ticket, error) {
	k.mu.Lock()
	open, known := k.orders.open[query.ID]
	term := k.orders.term
	k.mu.Unlock()
	if !known {
		return orderer.Ticket{}, ErrNotLeader
	}
	data, err := cbor.Marshal(command{Order: &open.order})
	if err != nil {
		return orderer.Ticket{}, trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	outcome, err := k.control.ProposeIn(ctx, term, data)
	if err != nil {
		return orderer.Ticket{}, trace.Wrap(err)
	}
	number := uint64(outcome.(orderNumber))
	return orderer.Ticket{Order: open.order, Number: number, Age: time.Since(open.reserved)}, nil
}
