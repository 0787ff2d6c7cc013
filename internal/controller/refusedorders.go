package controller

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/logger"
	"github.com/boragehead/boragehead/internal/replicator"
)

// methodOrderRefused is the call with which a control instance tells the others of an order
// that it has refused.
const methodOrderRefused = "order-refused"

const (
	// contradictionTime is how long after an order the opposite one is carried out only
	// when it is sent again after a refusal: a copy of an earlier one, which a link or a
	// proxy has delayed, is not.
	contradictionTime = 10 * time.Second
	// minResendDelay is the shortest time from the refusal of an order to a copy that was
	// sent because of it.
	minResendDelay = 50 * time.Millisecond
)

// domainOrder is the last order for a failure domain.
type domainOrder struct {
	// revision is the index of its log entry, or 0.
	revision replicator.Index
	closed   bool
	// changedAt is when this process applied the last order that changed something.
	changedAt time.Time
}

// contradicts reports whether an order would undo one that has just been accepted.
func (o domainOrder) contradicts(now time.Time, closed bool) bool {
	return closed != o.closed && !o.changedAt.IsZero() && conductor.Elapsed(o.changedAt, now) < contradictionTime
}

// refusedOrder is an order that was refused and must be sent again. Revision is that of the
// last order for the domain then.
type refusedOrder struct {
	FailureDomain string           `cbor:"f"`
	Closed        bool             `cbor:"c"`
	Revision      replicator.Index `cbor:"r"`
}

type refusedOrderAnswer struct{}

// shareRefusal records the refusal of an order here, and at the other control instances,
// without waiting for them: its operator turns to one of them next.
func (c *Controller) shareRefusal(ctx context.Context, now time.Time, order refusedOrder) {
	c.recordRefusal(now, order)
	ctx = context.WithoutCancel(ctx)
	for _, address := range c.otherControls() {
		go func() {
			if _, err := call[refusedOrder, refusedOrderAnswer](ctx, c, address, methodOrderRefused, order); err != nil {
				klog.V(2).InfoS("cannot tell of a refused order", "to", address, "failure-domain", order.FailureDomain, "err", logger.ErrorText(err))
			}
		}()
	}
}

func (c *Controller) serveOrderRefused(_ context.Context, _ certifier.Identity, order refusedOrder) (refusedOrderAnswer, error) {
	c.recordRefusal(time.Now(), order)
	return refusedOrderAnswer{}, nil
}

// recordRefusal records the refusal of an order, and drops those that matter no more.
func (c *Controller) recordRefusal(now time.Time, order refusedOrder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for other, at := range c.refusedOrders {
		if conductor.Elapsed(at, now) >= contradictionTime {
			delete(c.refusedOrders, other)
		}
	}
	if _, known := c.refusedOrders[order]; !known {
		c.refusedOrders[order] = now
	}
}

// hasBeenRefused reports whether an order was refused shortly before, so that this copy of
// it was sent since.
func (c *Controller) hasBeenRefused(now time.Time, order refusedOrder) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, known := c.refusedOrders[order]
	return known && conductor.Elapsed(at, now) >= minResendDelay
}
