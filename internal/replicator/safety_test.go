package replicator

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/journaler"
)

// registerInput is the input of an operation on the register.
type registerInput struct {
	write bool
	value uint64
}

// registerModel is the sequential specification that histories are checked against.
var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		in := input.(registerInput)
		if in.write {
			return true, in.value
		}
		return output.(uint64) == state.(uint64), state
	},
	Equal: func(a, b any) bool { return a == b },
}

// pendingCall is an operation that has no answer yet.
type pendingCall struct {
	op       porcupine.Operation
	node     *node
	answer   chan outcome
	issuedAt time.Time
}

// client issues operations and records their history.
type client struct {
	cluster *cluster
	pending []pendingCall
	history []porcupine.Operation
	value   uint64
	id      int
}

func (cl *client) issue() {
	c := cl.cluster
	n := c.nodes[c.random.IntN(len(c.nodes))]
	if leader := c.leader(); leader != nil && c.random.IntN(4) > 0 {
		n = leader
	}
	if n.down || len(cl.pending) >= 6 {
		return
	}
	cl.id++
	call := pendingCall{node: n, issuedAt: c.now, op: porcupine.Operation{ClientId: cl.id, Call: c.now.UnixNano()}}
	if c.random.IntN(2) == 0 {
		cl.value++
		call.op.Input = registerInput{write: true, value: cl.value}
		call.answer = c.propose(n, cl.value)
	} else {
		call.op.Input = registerInput{}
		call.answer = c.read(n)
	}
	cl.pending = append(cl.pending, call)
}

// collect records the operations that were answered or have waited for 5 s. A write
// without an answer may take effect at any time; a read without one is left out.
func (cl *client) collect(final bool) {
	c := cl.cluster
	cl.pending = slices.DeleteFunc(cl.pending, func(call pendingCall) bool {
		write := call.op.Input.(registerInput).write
		select {
		case got := <-call.answer:
			cl.record(call, write, got.err)
			return true
		default:
		}
		if final || c.now.Sub(call.issuedAt) > 5*time.Second {
			cl.record(call, write, ErrOutcomeUnknown)
			return true
		}
		return false
	})
}

// neverReturned is the return time of a write whose outcome is unknown.
const neverReturned = int64(1) << 62

// record adds an operation to the history, unless it cannot have had any effect.
func (cl *client) record(call pendingCall, write bool, err error) {
	op := call.op
	switch {
	case errors.Is(err, ErrNotLeader):
		return
	case err != nil && !write:
		return
	case err != nil:
		op.Return = neverReturned
	default:
		op.Return = cl.cluster.now.UnixNano() + 1
	}
	if !write {
		op.Output = call.node.machine.value
	}
	cl.history = append(cl.history, op)
}

// TestHistoriesAreLinearizable runs random histories with lost, delayed,
// duplicated and reordered messages, crashes at any step of a write, isolations and
// restarts, and checks them with porcupine. No two nodes may apply different entries
// at an index, and all must agree after healing.
func TestHistoriesAreLinearizable(t *testing.T) {
	const seeds = 120
	operations := 0
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			c := newCluster(t, seed, 3+2*int(seed%2))
			c.unreliable = true
			cl := &client{cluster: c}
			for range 600 {
				c.injectFault()
				cl.issue()
				c.tick()
				cl.collect(false)
			}
			cl.collect(true)
			c.heal()
			result := porcupine.CheckOperationsTimeout(registerModel, cl.history, time.Minute)
			assert.Equal(t, result, porcupine.Ok, "seed %d, %d operations", seed, len(cl.history))
			operations += len(cl.history)
		})
	}
	// A single seed may have no quorum for a long time, so only the total is checked.
	assert.Assert(t, operations > 100*seeds, "only %d operations", operations)
}

// injectFault starts or ends a random fault on a random node. Most calls do
// nothing.
func (c *cluster) injectFault() {
	n := c.nodes[c.random.IntN(len(c.nodes))]
	switch c.random.IntN(120) {
	case 0, 1:
		if !n.down {
			n.disk.CrashAfter(c.random.IntN(12))
		}
	case 2, 3, 4, 5, 6, 7, 8, 9:
		if n.down {
			c.start(n)
		}
	case 10:
		n.isolated = true
	case 11, 12, 13, 14:
		n.isolated = false
	case 15:
		c.step(n, TransferLeadership{})
	}
}

// TestStateSurvivesRestartAfterManyChanges checks that no change is lost when all
// nodes restart after many changes, and that the log stays bounded.
func TestStateSurvivesRestartAfterManyChanges(t *testing.T) {
	c := newCluster(t, 7, 3)
	const changes = 3 * compactAtBatches
	for value := range uint64(changes) {
		c.commitValue(value + 1)
	}
	before := c.awaitLeader().machine.digest
	for _, n := range c.nodes {
		_, batches := n.group.storage.journal.Size()
		assert.Assert(t, batches <= compactAtBatches+1, "%s holds %d batches", n.name, batches)
		n.disk.Crash()
		n.down = true
	}
	for _, n := range c.nodes {
		c.start(n)
	}
	leader := c.awaitLeader()
	assert.Equal(t, leader.machine.digest, before)
	assert.Equal(t, leader.machine.value, uint64(changes))
}

// TestStoreWithLostDiskHasNoVote checks that a store that lost its disk neither
// votes nor leads: its vote could elect a leader without the entries that it had
// confirmed.
func TestStoreWithLostDiskHasNoVote(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.commitValue(41)
	leader := c.awaitLeader()
	// The value is only on the leader and on the store that loses its disk.
	others := slices.DeleteFunc(slices.Clone(c.nodes), func(n *node) bool { return n == leader })
	others[0].isolated = true
	c.commitValue(42)
	leader.isolated = true
	others[1].disk.Erase()
	c.start(others[1])
	others[0].isolated = false
	c.run(300)
	assert.Assert(t, c.leader() == nil, "a leader was elected without the committed value")
	leader.isolated = false
	c.run(100)
	assert.Equal(t, c.awaitLeader().machine.value, uint64(42))
}

// TestSecondDiskLossAfterReadmission readmits a store that lost its disk, and makes
// a second store lose its disk as soon as the first one has its vote.
func TestSecondDiskLossAfterReadmission(t *testing.T) {
	for seed := range uint64(30) {
		c := newCluster(t, seed, 3)
		for value := range uint64(20) {
			c.commitValue(value + 1)
		}
		leader := c.awaitLeader()
		var lost, second *node
		for _, n := range c.nodes {
			switch {
			case n == leader:
			case lost == nil:
				lost = n
			default:
				second = n
			}
		}
		lost.disk.Erase()
		c.start(lost)
		c.run(100)
		c.readmit(lost)
		c.awaitVote(lost)
		if seed%2 == 0 {
			second = c.awaitLeader()
		}
		second.disk.Erase()
		second.down = true
		c.commitValue(99)
		assert.Equal(t, c.awaitLeader().machine.value, uint64(99), "seed %d", seed)
		assert.Equal(t, len(c.awaitLeader().group.Status().Members), 3)
		c.start(second)
		c.run(100)
		c.readmit(second)
		c.awaitVote(second)
		c.heal()
	}
}

// readmit asks the leader to admit a node until it succeeds.
func (c *cluster) readmit(n *node) {
	for range 200 {
		answer := c.submit(c.awaitLeader(), func(id uint64, answer chan outcome) Msg {
			return request{Msg: Admit{ID: id, Name: n.name, Store: n.identity.Store}, id: id, answer: answer}
		})
		c.run(20)
		if got := <-answer; got.err == nil {
			return
		}
	}
	c.t.Fatalf("%s was not readmitted", n.name)
}

// awaitVote runs until a node is a voter.
func (c *cluster) awaitVote(n *node) {
	for range 500 {
		for _, member := range c.awaitLeader().group.Status().Members {
			if member.Store == n.identity.Store && member.Voter {
				return
			}
		}
		c.tick()
	}
	c.t.Fatalf("%s got no vote", n.name)
}

// TestReturnFromIsolationForcesNoElection isolates the leader. It must not commit
// anything while isolated, nor unseat the new leader on its return.
func TestReturnFromIsolationForcesNoElection(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, seed, 3)
		c.commitValue(1)
		old := c.awaitLeader()
		old.isolated = true
		stale := c.propose(old, 666)
		c.run(1500)
		select {
		case got := <-stale:
			assert.Assert(t, got.err != nil, "an isolated store committed a change")
		default:
		}
		if seed%2 == 0 {
			c.commitValue(2)
		}
		leader := c.awaitLeader()
		term := leader.group.Status().Term
		old.isolated = false
		c.run(200)
		assert.Equal(t, c.awaitLeader().group.Status().Term, term, "seed %d: the return forced an election", seed)
		assert.Equal(t, old.machine.value, c.awaitLeader().machine.value)
		assert.Assert(t, old.machine.value != 666)
	}
}

// TestRefusedPreVoteRaisesNoTerm guards against an endless election between two
// stores: if a refused pre-vote raised terms, the one with the shorter log, which
// cannot win, and the other would overtake each other's terms for ever.
func TestRefusedPreVoteRaisesNoTerm(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.commitValue(1)
	leader := c.awaitLeader()
	term := leader.group.Status().Term
	behind := c.nodes[0]
	if behind == leader {
		behind = c.nodes[1]
	}
	behind.isolated = true
	c.commitValue(2)
	leader.isolated = true
	behind.isolated = false
	c.run(500)
	assert.Assert(t, behind.group.Status().Term <= term+1, "term %d after %d", behind.group.Status().Term, term)
	assert.Equal(t, c.awaitLeader().machine.value, uint64(2))
}

// TestReplacingLiveMemberIsRefused guards against an operator discarding a good
// copy of the log.
func TestReplacingLiveMemberIsRefused(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.commitValue(5)
	leader := c.awaitLeader()
	c.run(20)
	answer := c.submit(leader, func(id uint64, answer chan outcome) Msg {
		return request{Msg: Admit{ID: id, Name: c.nodes[0].name, Store: "another"}, id: id, answer: answer}
	})
	got := <-answer
	assert.Assert(t, errors.Is(got.err, ErrMembershipRefused), "got %v", got.err)
}

// TestPartlyLostDiskIsDetected removes a group's files but keeps the identity file.
func TestPartlyLostDiskIsDetected(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.commitValue(5)
	n := c.nodes[0]
	identity, err := n.disk.Read(identityFile)
	assert.NilError(t, err)
	n.disk.Erase()
	assert.NilError(t, n.disk.Replace(identityFile, identity))
	reopened, err := OpenIdentity(n.disk)
	assert.NilError(t, err)
	_, err = Open(reopened, "group", &register{cluster: c}, testTransport{cluster: c, from: n})
	assert.Assert(t, errors.Is(err, ErrDiskLost), "got %v", err)
}

// TestGroupsShareAnIdentity records groups on one disk from many goroutines, as
// happens when a readmitted process joins all its groups at once.
func TestGroupsShareAnIdentity(t *testing.T) {
	disk, err := journaler.OpenFolder(t.TempDir())
	assert.NilError(t, err)
	identity, err := OpenIdentity(disk)
	assert.NilError(t, err)
	const groups = 16
	var wait sync.WaitGroup
	for number := range groups {
		wait.Go(func() { assert.Check(t, identity.addGroup(fmt.Sprint("group-", number)) == nil) })
	}
	wait.Wait()
	reopened, err := OpenIdentity(disk)
	assert.NilError(t, err)
	assert.Equal(t, reopened.Store, identity.Store)
	assert.Equal(t, len(reopened.Groups), groups)
}

// ExampleBootstrapSnapshot shows the snapshot that the first members start from.
func ExampleBootstrapSnapshot() {
	snapshot := BootstrapSnapshot([]Member{{Name: "k1", Store: "a", Voter: true}})
	fmt.Println(snapshot.Index, len(snapshot.Members), binary.Size(snapshot.Data))
	// Output: 1 1 0
}
