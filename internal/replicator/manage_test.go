package replicator

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/imitator"
)

// newManagedCluster returns a cluster whose leaders manage the members.
func newManagedCluster(t *testing.T, seed uint64) *cluster {
	const size = 3
	c := newCluster(t, seed, size)
	c.target = size
	for _, n := range c.nodes {
		c.start(n)
	}
	return c
}

// add starts a node on an empty disk, as a new machine does.
func (c *cluster) add(name string) *node {
	n := &node{name: name, disk: imitator.NewDisk(c.random.Uint64())}
	c.nodes = append(c.nodes, n)
	c.start(n)
	return n
}

// wipe restarts a node on an empty disk.
func (c *cluster) wipe(n *node) {
	n.disk = imitator.NewDisk(c.random.Uint64())
	c.start(n)
}

// join lets every node without membership ask the leader to be let in.
func (c *cluster) join() {
	leader := c.leader()
	for _, n := range c.nodes {
		if leader == nil || n.down || n.isolated || leader.group.model.member(n.identity.Store) {
			continue
		}
		c.ask(leader, func(id uint64, answer chan outcome) Msg {
			return request{Msg: Admit{ID: id, Name: n.name, Store: n.identity.Store}, id: id, answer: answer}
		})
	}
}

// live runs the cluster for a time, with joins as a process makes them.
func (c *cluster) live(ticks int) {
	const joinEvery = 15
	for i := range ticks {
		if i%joinEvery == 0 {
			c.join()
		}
		c.tick()
	}
}

// votersOf returns the names of the voters, as a leader sees them.
func (c *cluster) votersOf(n *node) map[string]bool {
	names := map[string]bool{}
	for _, member := range n.group.model.Status().Members {
		if member.Voter {
			names[member.Name] = true
		}
	}
	return names
}

// catchUp is the time within which a store must be a voter again, in ticks of
// 20 ms: four seconds.
const catchUp = 200

func TestWipedVoterComesBack(t *testing.T) {
	for seed := range uint64(20) {
		c := newManagedCluster(t, seed)
		c.accept(1)
		lost := c.nodes[c.random.IntN(3)]
		c.wipe(lost)
		c.live(catchUp)
		leader := c.awaitLeader()
		assert.Assert(t, leader.group.model.member(lost.identity.Store), "seed %d: not let in", seed)
		assert.Equal(t, len(c.votersOf(leader)), 3, "seed %d", seed)
		assert.Equal(t, lost.machine.value, leader.machine.value)
	}
}

// TestReplacementTakesTheVoteOfASilentVoter replaces a node by another at a new
// address, planned (the new one first) and not, twice in a row.
func TestReplacementTakesTheVoteOfASilentVoter(t *testing.T) {
	for _, planned := range []bool{true, false} {
		c := newManagedCluster(t, 7)
		c.accept(1)
		for round := range 2 {
			gone := c.awaitLeader()
			if !planned {
				gone.down = true
				c.live(50)
			}
			fresh := c.add(fmt.Sprintf("new-%d", round))
			c.live(catchUp)
			gone.down = true
			c.live(int(voterSilence/(20*time.Millisecond)) + catchUp)
			leader := c.awaitLeader()
			voters := c.votersOf(leader)
			assert.Assert(t, voters[fresh.name], "planned %t: %v", planned, voters)
			assert.Assert(t, !voters[gone.name], "planned %t: %v", planned, voters)
			assert.Equal(t, len(voters), 3)
			c.accept(uint64(round) + 10)
		}
	}
}

// TestWipedMinorityForgetsNothing wipes a store that had the newest entry while
// the other holder is dark, and lets a store that missed it come back first.
func TestWipedMinorityForgetsNothing(t *testing.T) {
	for seed := range uint64(20) {
		c := newManagedCluster(t, seed)
		c.accept(1)
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
		c.accept(42)
		c.wipe(other)
		leader.down = true
		behind.isolated = false
		c.live(catchUp)
		for _, n := range c.nodes {
			assert.Assert(t, n.down || n.group.model.role != Leader, "seed %d: a quorum without the newest entry", seed)
		}
		c.start(leader)
		c.live(catchUp)
		now := c.awaitLeader()
		assert.Equal(t, now.machine.value, uint64(42), "seed %d", seed)
	}
}

// TestAcceptedIsNeverLostWhileMembersChange cuts, crashes and wipes one store
// at a time, with time to catch up between two wipes, and checks after each that
// the newest accepted value is what a leader reads.
func TestAcceptedIsNeverLostWhileMembersChange(t *testing.T) {
	for seed := range uint64(60) {
		c := newManagedCluster(t, seed)
		value := uint64(1)
		c.accept(value)
		for range 8 {
			n := c.nodes[c.random.IntN(len(c.nodes))]
			switch c.random.IntN(4) {
			case 0:
				n.isolated = true
				c.live(c.random.IntN(150))
				n.isolated = false
			case 1:
				n.disk.Crash()
				n.down = true
				c.live(c.random.IntN(150))
				c.start(n)
			case 2:
				c.wipe(n)
			case 3:
				for _, all := range c.nodes {
					all.disk.Crash()
					all.down = true
				}
				for _, all := range c.nodes {
					c.start(all)
				}
			}
			if c.random.IntN(2) == 0 {
				value++
				c.accept(value)
			}
			c.live(catchUp + 100)
			leader := c.awaitLeader()
			assert.Equal(t, leader.machine.value, value, "seed %d", seed)
			assert.Equal(t, len(c.votersOf(leader)), 3, "seed %d: %+v", seed, leader.group.model.Status().Members)
		}
	}
}

// TestRefusedWritesAreRetried fills a disk: the store pauses, the others go on,
// and it takes part again once there is room.
func TestRefusedWritesAreRetried(t *testing.T) {
	c := newManagedCluster(t, 3)
	c.accept(1)
	full := c.awaitLeader()
	full.group.Retry(time.Millisecond)
	full.disk.Refuse(5)
	c.accept(2)
	c.run(100)
	assert.Assert(t, !full.down)
	assert.Equal(t, c.awaitLeader().machine.value, uint64(2))
}

// TestAcceptedStateIsShownAtStart restarts all stores: each shows what was
// accepted before any of them leads.
func TestAcceptedStateIsShownAtStart(t *testing.T) {
	c := newManagedCluster(t, 5)
	c.accept(42)
	c.run(30)
	for _, n := range c.nodes {
		n.disk.Crash()
		c.start(n)
		assert.Equal(t, n.machine.value, uint64(42))
		assert.Assert(t, n.group.Status().Role != Leader)
	}
	c.accept(43)
}
