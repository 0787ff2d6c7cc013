package controller

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/decoder"
	"github.com/boragehead/boragehead/internal/logger"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/replicator"
)

// ErrOrderOutdated means that an order for a failure domain may be older than one that
// has been accepted since, and was not carried out. An operator that still wants it
// must send it again.
var ErrOrderOutdated = messenger.RegisterError("state-order-outdated", errors.New("a newer order may be in force"))

// heldOrderTime is how long after a pause an instance takes no new orders: they may have
// waited in its sockets.
const heldOrderTime = time.Second

// PrepareOrder returns the revision that an order to close a failure domain, or to open it,
// must bear: that of the last order for the domain. So an order that waits anywhere is
// not carried out after a newer one. The error is ErrOrderOutdated if the order itself may
// have waited for so long that its operator has moved on, whether or not its client
// still takes the answer: an operator that wants it sends it again.
func (c *Controller) PrepareOrder(ctx context.Context, failureDomain string, closed bool) (replicator.Index, error) {
	now := time.Now()
	last := c.machine.lastOrder(failureDomain)
	var cause string
	switch {
	case c.pauses.PausedWithin(now, heldOrderTime):
		cause = "the control instance has stood still"
	case last.contradicts(now, closed) && !c.hasBeenRefused(now, refusedOrder{FailureDomain: failureDomain, Closed: closed, Revision: last.revision}):
		cause = "it contradicts one that has just been accepted"
		c.shareRefusal(ctx, now, refusedOrder{FailureDomain: failureDomain, Closed: closed, Revision: last.revision})
	default:
		return last.revision, nil
	}
	klog.InfoS("order for failure domain not taken", "failure-domain", failureDomain, "closed", closed, "revision", last.revision, "cause", cause)
	return 0, trace.Wrap(ErrOrderOutdated, cause)
}

// SetFailureDomainClosed closes a failure domain, so that its servers get no
// requests, or opens it again if closed is false. The order takes effect only if the last
// one accepted for the domain has the given revision; otherwise the error wraps
// ErrOrderOutdated. It returns once a quorum has synced the change, or an error that
// wraps ErrUnavailable; the change may then still take effect.
func (c *Controller) SetFailureDomainClosed(ctx context.Context, failureDomain string, closed bool, after replicator.Index) error {
	startedAt := time.Now()
	_, err := c.submit(ctx, command{CloseDomain: &closeCommand{FailureDomain: failureDomain, Closed: closed, After: &after}})
	klog.InfoS("failure domain change proposed", "failure-domain", failureDomain, "closed", closed, "after", after, "took", time.Since(startedAt), "err", logger.ErrorText(err))
	return err
}

// proposeHere appends an encoded command to the log if this instance leads and the command
// is not an outdated order.
func (c *Controller) proposeHere(ctx context.Context, data []byte) (commandResult, error) {
	// Without the field of definitions, a large document is not copied.
	var cmd struct {
		CloseDomain *closeCommand `cbor:"c"`
	}
	if err := decoder.Stored(data, &cmd); err != nil {
		return commandResult{}, trace.Wrap(err)
	}
	var outcome any
	var err error
	if order := cmd.CloseDomain; order != nil && order.After != nil {
		outcome, err = c.group.ProposeIf(ctx, order.FailureDomain, func() bool {
			return c.machine.lastOrder(order.FailureDomain).revision == *order.After
		}, data)
	} else {
		outcome, err = c.group.Propose(ctx, data)
	}
	if errors.Is(err, replicator.ErrConditionFailed) {
		return commandResult{}, trace.Wrap(ErrOrderOutdated, err.Error())
	}
	if err != nil {
		return commandResult{}, trace.Wrap(err)
	}
	return outcome.(commandResult), nil
}
