package replicator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestNewLeaderDoesNotKnowConfirmedChange has a leader end right after it has confirmed a value.
// A conditional proposal to its successor must be decided by that value.
func TestNewLeaderDoesNotKnowConfirmedChange(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.commitValue(1)
	c.run(20)
	old := c.awaitLeader()
	c.propose(old, 2)
	for old.machine.value != 2 {
		c.tick()
	}
	old.down, c.network = true, nil // the others have the entry, but not the commit index
	for c.leader() == nil {
		c.tick()
	}
	leader := c.leader()
	assert.Equal(t, leader.machine.value, uint64(1))
	asked, holds, outcome := make(chan bool), make(chan bool), make(chan error)
	go func() {
		condition := func() bool { asked <- true; return <-holds }
		_, err := leader.group.ProposeIf(t.Context(), "value", condition, make([]byte, 8))
		outcome <- err
	}()
	for {
		select {
		case <-asked:
			holds <- leader.machine.value == 1
		case msg := <-leader.group.inbox.Items():
			c.step(leader, msg)
		case err := <-outcome:
			assert.ErrorIs(t, err, ErrConditionFailed)
			return
		case <-time.After(time.Millisecond):
			c.tick()
		}
	}
}
