package controller

import (
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/replicator"
)

// revisionOf waits until all control instances have applied the same last order for the
// failure domain "n", and returns its revision.
func (f *fleet) revisionOf() (revision replicator.Index) {
	f.t.Helper()
	f.eventually("equal revisions", func() bool {
		revision = f.controls[0].machine.lastOrder("n").revision
		return !slices.ContainsFunc(f.controls, func(c *control) bool { return c.machine.lastOrder("n").revision != revision })
	})
	return revision
}

// TestDelayedOrderUndoesNewerOne has orders arrive at each control instance after a newer one
// was accepted by another, after the leader has changed, and at the same time as others.
func TestDelayedOrderUndoesNewerOne(t *testing.T) {
	f := newFleet(t)
	f.waitDefined(f.controls[0], "1")
	isClosed := func(c *control) bool { return slices.Contains(c.machine.state().ClosedDomains, "n") }
	var old replicator.Index
	for i, c := range f.controls {
		for _, closed := range []bool{true, false} {
			old = f.revisionOf()
			assert.NilError(t, f.controls[(i+1)%3].SetFailureDomainClosed(t.Context(), "n", closed, old))
			assert.ErrorIs(t, c.SetFailureDomainClosed(t.Context(), "n", !closed, old), ErrOrderOutdated)
			f.revisionOf()
			assert.Equal(t, isClosed(c), closed)
			// An order that changes nothing outdates older ones as well.
			old = f.revisionOf()
			assert.NilError(t, c.SetFailureDomainClosed(t.Context(), "n", closed, old))
			assert.ErrorIs(t, c.SetFailureDomainClosed(t.Context(), "n", !closed, old), ErrOrderOutdated)
		}
	}

	// Of orders that arrive together, one is accepted.
	current := f.revisionOf()
	var orders sync.WaitGroup
	outcomes := make([]error, 12)
	for i := range outcomes {
		orders.Go(func() {
			outcomes[i] = f.controls[i%3].SetFailureDomainClosed(t.Context(), "n", i%2 == 0, current)
		})
	}
	orders.Wait()
	f.revisionOf()
	accepted := slices.IndexFunc(outcomes, func(err error) bool { return err == nil })
	assert.Assert(t, accepted >= 0, "%v", outcomes)
	assert.Equal(t, isClosed(f.controls[0]), accepted%2 == 0)
	for _, err := range slices.Delete(outcomes, accepted, accepted+1) {
		assert.ErrorIs(t, err, ErrOrderOutdated)
	}

	leader := slices.IndexFunc(f.controls, func(c *control) bool { return c.group.IsLeader() })
	f.controls[leader].stop()
	f.controls = slices.Delete(f.controls, leader, leader+1)
	f.waitDefined(f.controls[0], "2")
	assert.ErrorIs(t, f.controls[1].SetFailureDomainClosed(t.Context(), "n", accepted%2 != 0, old), ErrOrderOutdated)
}

// TestDelayedOrderThatIsAnsweredUndoesNewerOne has copies of an old order arrive whose client
// still follows the answers, though the operator has given others since.
func TestDelayedOrderThatIsAnsweredUndoesNewerOne(t *testing.T) {
	f := newFleet(t)
	f.waitDefined(f.controls[0], "1")
	order := func(control int, closed bool) error {
		c := f.controls[control]
		revision, err := c.PrepareOrder(t.Context(), "n", closed)
		if err == nil {
			err = c.SetFailureDomainClosed(t.Context(), "n", closed, revision)
		}
		return err
	}
	refused := refusedOrder{FailureDomain: "n", Closed: false}
	assert.NilError(t, order(0, true), "nothing is contradicted")
	refused.Revision = f.revisionOf()
	assert.ErrorIs(t, order(1, false), ErrOrderOutdated)
	f.eventually("the refusal is known elsewhere", func() bool { return f.controls[2].hasBeenRefused(time.Now(), refused) })
	assert.NilError(t, order(2, false))
	f.revisionOf()
	f.eventually("sent again", func() bool { return order(0, true) == nil })
	f.revisionOf()
	for _, control := range []int{0, 0, 1, 2} {
		assert.ErrorIs(t, order(control, false), ErrOrderOutdated, "copies that come at the same time")
	}
	c := f.controls[0]
	c.machine.changedAt["n"] = c.machine.changedAt["n"].Add(-contradictionTime)
	assert.NilError(t, order(0, false), "the last order is not recent")
	c.recordRefusal(time.Now().Add(2*contradictionTime), refusedOrder{})
	assert.Equal(t, len(c.refusedOrders), 1, "refusals are kept for ever")
}
