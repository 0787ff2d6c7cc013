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

// Names of the calls that deliver an order. A keeper forwards an operator's order
// to the leader, the leader asks an entry instance to deliver it, and that
// instance asks the leader for the order's fencing number. An instance that was
// suspended in between asks after the leader has dropped the order, gets no
// number and sends nothing.
const (
	methodOrder   = "order"
	MethodDeliver = "deliver"
	MethodNumber  = "number"
)

// ErrOrderWait means that an earlier order for the server may still be in
// flight.
var ErrOrderWait = messenger.RegisterError("order-wait", orderer.ErrOrderInFlight)

// DeliverQuery asks an entry instance to deliver an order.
type DeliverQuery struct {
	ID    uint64        `cbor:"i"`
	Order orderer.Order `cbor:"o"`
}

// DeliverAnswer carries the fencing number with which the order was delivered.
type DeliverAnswer struct {
	Number uint64 `cbor:"n" json:"fencing-number"`
}

// NumberQuery asks the leader for the ticket of a pending order.
type NumberQuery struct {
	ID uint64 `cbor:"i"`
}

// pendingOrder is an order that an instance may still request a number for.
type pendingOrder struct {
	order      orderer.Order
	reservedAt time.Time
}

// termOrders are the orders that this keeper handles as the leader of one term.
type termOrders struct {
	term    replicator.Term
	issuer  *orderer.Issuer
	pending map[uint64]pendingOrder
	// lastID is the ID of the newest order. IDs are unique within a term.
	lastID uint64
}

// fencingNumber is the outcome of an order's log entry: the index of that entry.
type fencingNumber uint64

// SendOrder has an order delivered to a backend server, by way of the leader.
// The error is ErrOrderWait while an earlier order for that server may still be
// in flight.
func (k *Keeper) SendOrder(ctx context.Context, order orderer.Order) (DeliverAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, orderer.Lifetime)
	defer cancel()
	if k.controlGroup.IsLeader() {
		return k.deliverOrder(ctx, order)
	}
	leader, known := k.controlGroup.Leader()
	endpoint, configured := k.keeperEndpoint(leader.Name)
	if !known || !configured {
		return DeliverAnswer{}, trace.Wrap(ErrNoQuorum)
	}
	return messenger.Call[orderer.Order, DeliverAnswer](ctx, k.client, endpoint, methodOrder, order)
}

func (k *Keeper) serveOrder(ctx context.Context, _ certifier.Identity, order orderer.Order) (DeliverAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, orderer.Lifetime)
	defer cancel()
	return k.deliverOrder(ctx, order)
}

// deliverOrder reserves the server and asks the entry instances of its failure
// domain in turn to deliver the order, until one can be reached. This keeper must
// be the leader. Only instances with a report newer than an order's lifetime are
// asked.
func (k *Keeper) deliverOrder(ctx context.Context, order orderer.Order) (DeliverAnswer, error) {
	if err := k.controlGroup.Read(ctx); err != nil {
		return DeliverAnswer{}, err
	}
	id, err := k.reserveOrder(order)
	if err != nil {
		return DeliverAnswer{}, err
	}
	defer k.removeOrder(id)
	lastErr := error(trace.NotFound("no instance of failure domain %q has been heard", order.FailureDomain))
	for _, report := range k.recentReports() {
		if report.entry.FailureDomain != order.FailureDomain || time.Since(report.receivedAt) > orderer.Lifetime {
			continue
		}
		to := messenger.Endpoint{Name: report.entry.Name, Address: report.entry.PeerAddress}
		answer, err := messenger.Call[DeliverQuery, DeliverAnswer](ctx, k.client, to, MethodDeliver, DeliverQuery{ID: id, Order: order})
		if err == nil {
			return answer, nil
		}
		lastErr = err
		if !errors.Is(err, messenger.ErrUnreachable) {
			break
		}
	}
	return DeliverAnswer{}, trace.Wrap(lastErr)
}

// reserveOrder reserves the server for an order in the current term and returns
// the order's ID. Orders of earlier terms are dropped: their numbers could no
// longer be proposed.
func (k *Keeper) reserveOrder(order orderer.Order) (uint64, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	status := k.controlGroup.Status()
	if status.Role != replicator.Leader {
		return 0, ErrNotLeader
	}
	if k.orders.term != status.Term {
		k.orders = termOrders{term: status.Term, issuer: orderer.NewIssuer(now), pending: map[uint64]pendingOrder{}}
	}
	wait, err := k.orders.issuer.Reserve(now, order)
	if err != nil {
		return 0, trace.Wrap(err, "come back in %s", wait.Round(time.Second))
	}
	k.orders.lastID++
	k.orders.pending[k.orders.lastID] = pendingOrder{order: order, reservedAt: now}
	return k.orders.lastID, nil
}

// removeOrder drops a pending order, so that it gets no number any more.
func (k *Keeper) removeOrder(id uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.orders.pending, id)
}

// serveNumber numbers a pending order. The age in the ticket counts from when the
// order was reserved. The number is proposed only in the term of the reservation.
func (k *Keeper) serveNumber(ctx context.Context, _ certifier.Identity, query NumberQuery) (orderer.Ticket, error) {
	k.mu.Lock()
	pending, known := k.orders.pending[query.ID]
	term := k.orders.term
	k.mu.Unlock()
	if !known {
		return orderer.Ticket{}, ErrNotLeader
	}
	data, err := cbor.Marshal(command{Order: &pending.order})
	if err != nil {
		return orderer.Ticket{}, trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	outcome, err := k.controlGroup.ProposeIn(ctx, term, data)
	if err != nil {
		return orderer.Ticket{}, trace.Wrap(err)
	}
	number := uint64(outcome.(fencingNumber))
	return orderer.Ticket{Order: pending.order, Number: number, Age: time.Since(pending.reservedAt)}, nil
}
