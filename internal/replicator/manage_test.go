package replicator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/imitator"
)

// newManagedCluster returns a cluster of three whose leaders manage the members.
func newManagedCluster(t *testing.T, seed uint64) *cluster {
	const size = 3
	c := newCluster(t, seed, size)
	c.targetVoters = size
	for _, n := range c.nodes {
		c.start(n)
	}
	return c
}

// addNode starts a new node on an empty disk, as a new machine would.
func (c *cluster) addNode(name string) *node {
	n := &node{name: name, disk: imitator.NewDisk(c.random.Uint64())}
	c.nodes = append(c.nodes, n)
	c.start(n)
	return n
}

// restartEmpty restarts a node on an empty disk.
func (c *cluster) restartEmpty(n *node) {
	n.disk = imitator.NewDisk(c.random.Uint64())
	c.start(n)
}

// requestJoins makes every reachable node that is not a member ask the leader to
// admit it.
func (c *cluster) requestJoins() {
	leader := c.leader()
	for _, n := range c.nodes {
		if leader == nil || n.down || n.isolated || leader.group.model.isMember(n.identity.Store) {
			continue
		}
		c.submit(leader, func(id uint64, answer chan outcome) Msg {
			return request{Msg: Admit{ID: id, Name: n.name, Store: n.identity.Store}, id: id, answer: answer}
		})
	}
}

// runWithJoins runs the cluster for a number of ticks. As real processes do, nodes
// that are not members ask to be admitted at regular intervals.
func (c *cluster) runWithJoins(ticks int) {
	const joinInterval = 15
	for i := range ticks {
		if i%joinInterval == 0 {
			c.requestJoins()
		}
		c.tick()
	}
}

// votersOf returns the names of the voters by a node's newest members.
func (c *cluster) votersOf(n *node) map[string]bool {
	names := map[string]bool{}
	for _, member := range n.group.model.Status().Members {
		if member.Voter {
			names[member.Name] = true
		}
	}
	return names
}

// catchUpTicks is the time within which a new store must become a voter, in ticks
// of 20 ms: four seconds.
const catchUpTicks = 200

// TestWipedVoterRegainsVote guards against a voter that lost its disk staying
// without a vote.
func TestWipedVoterRegainsVote(t *testing.T) {
	for seed := range uint64(20) {
		c := newManagedCluster(t, seed)
		c.commitValue(1)
		lost := c.nodes[c.random.IntN(3)]
		c.restartEmpty(lost)
		c.runWithJoins(catchUpTicks)
		leader := c.awaitLeader()
		assert.Assert(t, leader.group.model.isMember(lost.identity.Store), "seed %d: not admitted", seed)
		assert.Equal(t, len(c.votersOf(leader)), 3, "seed %d", seed)
		assert.Equal(t, lost.machine.value, leader.machine.value)
	}
}

// TestReplacementTakesVoteOfSilentVoter replaces a node by one at a new address,
// twice in a row. In a planned replacement the new node starts before the old one
// stops, in an unplanned one after it.
func TestReplacementTakesVoteOfSilentVoter(t *testing.T) {
	for _, planned := range []bool{true, false} {
		c := newManagedCluster(t, 7)
		c.commitValue(1)
		for round := range 2 {
			replaced := c.awaitLeader()
			if !planned {
				replaced.down = true
				c.runWithJoins(50)
			}
			replacement := c.addNode(fmt.Sprintf("new-%d", round))
			c.runWithJoins(catchUpTicks)
			replaced.down = true
			c.runWithJoins(int(voterTimeout/(20*time.Millisecond)) + catchUpTicks)
			leader := c.awaitLeader()
			voters := c.votersOf(leader)
			assert.Assert(t, voters[replacement.name], "planned %t: %v", planned, voters)
			assert.Assert(t, !voters[replaced.name], "planned %t: %v", planned, voters)
			assert.Equal(t, len(voters), 3)
			c.commitValue(uint64(round) + 10)
		}
	}
}

// TestWipedMinorityLosesNoCommittedEntry guards against the loss of a committed
// entry that only two of three stores hold: one of them loses its disk while the
// other is down, and the store that missed the entry comes back first.
func TestWipedMinorityLosesNoCommittedEntry(t *testing.T) {
	for seed := range uint64(20) {
		c := newManagedCluster(t, seed)
		c.commitValue(1)
		leader := c.awaitLeader()
		var behind, other *node
		for _, n := range c.nodes {
			switch {
			case n == leader:
			case behind == nil:
				behind = n
			default:
				other = n
			}
		}
		behind.isolated = true
		c.commitValue(42)
		c.restartEmpty(other)
		leader.down = true
		behind.isolated = false
		c.runWithJoins(catchUpTicks)
		for _, n := range c.nodes {
			assert.Assert(t, n.down || n.group.model.role != Leader, "seed %d: leader elected without the newest entry", seed)
		}
		c.start(leader)
		c.runWithJoins(catchUpTicks)
		current := c.awaitLeader()
		assert.Equal(t, current.machine.value, uint64(42), "seed %d", seed)
	}
}

// TestCommittedValueSurvivesMembershipChanges isolates, crashes or wipes a random
// store, or restarts all of them. After each fault the stores have time to catch
// up; then the leader must have the newest committed value, and three voters.
func TestCommittedValueSurvivesMembershipChanges(t *testing.T) {
	for seed := range uint64(60) {
		c := newManagedCluster(t, seed)
		value := uint64(1)
		c.commitValue(value)
		for range 8 {
			n := c.nodes[c.random.IntN(len(c.nodes))]
			switch c.random.IntN(4) {
			case 0:
				n.isolated = true
				c.runWithJoins(c.random.IntN(150))
				n.isolated = false
			case 1:
				n.disk.Crash()
				n.down = true
				c.runWithJoins(c.random.IntN(150))
				c.start(n)
			case 2:
				c.restartEmpty(n)
			case 3:
				for _, each := range c.nodes {
					each.disk.Crash()
					each.down = true
				}
				for _, each := range c.nodes {
					c.start(each)
				}
			}
			if c.random.IntN(2) == 0 {
				value++
				c.commitValue(value)
			}
			c.runWithJoins(catchUpTicks + 100)
			leader := c.awaitLeader()
			assert.Equal(t, leader.machine.value, value, "seed %d", seed)
			assert.Equal(t, len(c.votersOf(leader)), 3, "seed %d: %+v", seed, leader.group.model.Status().Members)
		}
	}
}

// TestRefusedWritesAreRetried fills the leader's disk: its store must retry until
// there is room and then take part again, instead of stopping.
func TestRefusedWritesAreRetried(t *testing.T) {
	c := newManagedCluster(t, 3)
	c.commitValue(1)
	full := c.awaitLeader()
	full.group.RetryWrites(time.Millisecond)
	full.disk.FailWrites(5)
	c.commitValue(2)
	c.run(100)
	assert.Assert(t, !full.down)
	assert.Equal(t, c.awaitLeader().machine.value, uint64(2))
}

// TestChangesFailAfterDisksWereFull guards against stores that never take part again after their
// disks were full, one after another: changes are made and kept once the last has room.
func TestChangesFailAfterDisksWereFull(t *testing.T) {
	for seed := range uint64(5) {
		c := newManagedCluster(t, 3)
		value := uint64(1)
		c.commitValue(value)
		random := rand.New(rand.NewPCG(seed, 7))
		for round := range 24 {
			full := c.nodes[round%len(c.nodes)]
			full.group.RetryWrites(time.Millisecond)
			full.disk.FailWrites(1 + random.IntN(6))
			if random.IntN(2) == 0 {
				full.isolated = true // it pauses, so that the others go on without it
				c.run(60)
				full.isolated = false
			}
			value++
			c.commitValue(value)
			c.run(random.IntN(40))
		}
		value++
		c.commitValue(value)
		c.run(30)
		for _, n := range c.nodes {
			assert.Assert(t, !n.down, "seed %d", seed)
			n.disk.Crash()
			c.start(n)
			assert.Equal(t, n.machine.value, value, "seed %d", seed)
		}
	}
}

// TestCommittedStateIsRestoredAtStart restarts all stores: each must have the
// committed state before any of them leads.
func TestCommittedStateIsRestoredAtStart(t *testing.T) {
	c := newManagedCluster(t, 5)
	c.commitValue(42)
	c.run(30)
	for _, n := range c.nodes {
		n.disk.Crash()
		c.start(n)
		assert.Equal(t, n.machine.value, uint64(42))
		assert.Assert(t, n.group.Status().Role != Leader)
	}
	c.commitValue(43)
}
