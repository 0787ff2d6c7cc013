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

// registerInput is an operation on the register.
type registerInput struct {
	write bool
	value uint64
}

// registerModel is the sequential register that histories are checked with.
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

// pendingCall is an operation that has not been answered.
type pendingCall struct {
	op     porcupine.Operation
	node   *node
	answer chan outcome
	since  time.Time
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
	call := pendingCall{node: n, since: c.now, op: porcupine.Operation{ClientId: cl.id, Call: c.now.UnixNano()}}
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

// collect records answers. An unanswered write may take effect at any time;
// an unanswered read says nothing.
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
		if final || c.now.Sub(call.since) > 5*time.Second {
			cl.record(call, write, ErrLost)
			return true
		}
		return false
	})
}

const forever = int64(1) << 62

func (cl *client) record(call pendingCall, write bool, err error) {
	op := call.op
	switch {
	case errors.Is(err, ErrNotLeader):
		return
	case err != nil && !write:
		return
	case err != nil:
		op.Return = forever
	default:
		op.Return = cl.cluster.now.UnixNano() + 1
	}
	if !write {
		op.Output = call.node.machine.value
	}
	cl.history = append(cl.history, op)
}

// TestHistoriesAreLinearizable runs random histories with lost, delayed,
// doubled and reordered messages, crashes at any step of a write, isolations
// and restarts, and checks them with porcupine. No node may apply an entry
// that differs from another's, and all agree after healing.
func TestHistoriesAreLinearizable(t *testing.T) {
	const seeds = 120
	operations := 0
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			c := newCluster(t, seed, 3+2*int(seed%2))
			c.chaos = true
			cl := &client{cluster: c}
			for range 600 {
				c.fault()
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
	// A seed may have no quorum for long; together they must say something.
	assert.Assert(t, operations > 100*seeds, "only %d operations", operations)
}

// fault draws a fault, or its end, now and then.
func (c *cluster) fault() {
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
		c.step(n, Transfer{})
	}
}

// TestHundredsOfChangesAndRestart checks that nothing reverts over a restart
// of all nodes after many changes, and that the log stays bounded.
func TestHundredsOfChangesAndRestart(t *testing.T) {
	c := newCluster(t, 7, 3)
	const changes = 3 * snapshotBatches
	for value := range uint64(changes) {
		c.accept(value + 1)
	}
	before := c.awaitLeader().machine.digest
	for _, n := range c.nodes {
		_, batches := n.group.store.journal.Size()
		assert.Assert(t, batches <= snapshotBatches+1, "%s holds %d batches", n.name, batches)
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

// TestLostDiskHasNoVote checks that a store that lost its disk neither votes
// nor leads, so that what it had confirmed is not forgotten with its help.
func TestLostDiskHasNoVote(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.accept(41)
	leader := c.awaitLeader()
	// The value is only on the leader and on the one that loses its disk.
	others := slices.DeleteFunc(slices.Clone(c.nodes), func(n *node) bool { return n == leader })
	others[0].isolated = true
	c.accept(42)
	leader.isolated = true
	others[1].disk.Lose()
	c.start(others[1])
	others[0].isolated = false
	c.run(300)
	assert.Assert(t, c.leader() == nil, "a leader was elected without the accepted value")
	leader.isolated = false
	c.run(100)
	assert.Equal(t, c.awaitLeader().machine.value, uint64(42))
}

// TestSecondLossRightAfterRepair readmits a lost store, and loses a second
// one the moment the first has its vote.
func TestSecondLossRightAfterRepair(t *testing.T) {
	for seed := range uint64(30) {
		c := newCluster(t, seed, 3)
		for value := range uint64(20) {
			c.accept(value + 1)
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
		lost.disk.Lose()
		c.start(lost)
		c.run(100)
		c.readmit(lost)
		c.awaitVote(lost)
		if seed%2 == 0 {
			second = c.awaitLeader()
		}
		second.disk.Lose()
		second.down = true
		c.accept(99)
		assert.Equal(t, c.awaitLeader().machine.value, uint64(99), "seed %d", seed)
		assert.Equal(t, len(c.awaitLeader().group.Status().Members), 3)
		c.start(second)
		c.run(100)
		c.readmit(second)
		c.awaitVote(second)
		c.heal()
	}
}

func (c *cluster) readmit(n *node) {
	for range 200 {
		answer := c.ask(c.awaitLeader(), func(id uint64, answer chan outcome) Msg {
			return request{Msg: Admit{ID: id, Name: n.name, Store: n.identity.Store}, id: id, answer: answer}
		})
		c.run(20)
		if got := <-answer; got.err == nil {
			return
		}
	}
	c.t.Fatalf("%s was not readmitted", n.name)
}

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

// TestLongIsolationDisturbsNobody isolates a store, which must neither accept
// anything nor, on its return, unseat the leader.
func TestLongIsolationDisturbsNobody(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, seed, 3)
		c.accept(1)
		old := c.awaitLeader()
		old.isolated = true
		stale := c.propose(old, 666)
		c.run(1500)
		select {
		case got := <-stale:
			assert.Assert(t, got.err != nil, "an isolated store accepted a change")
		default:
		}
		if seed%2 == 0 {
			c.accept(2)
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

// TestRefusedPreVoteRaisesNoTerm keeps two stores of which one has the longer
// log from chasing each other's terms for ever.
func TestRefusedPreVoteRaisesNoTerm(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.accept(1)
	leader := c.awaitLeader()
	term := leader.group.Status().Term
	behind := c.nodes[0]
	if behind == leader {
		behind = c.nodes[1]
	}
	behind.isolated = true
	c.accept(2)
	leader.isolated = true
	behind.isolated = false
	c.run(500)
	assert.Assert(t, behind.group.Status().Term <= term+1, "term %d after %d", behind.group.Status().Term, term)
	assert.Equal(t, c.awaitLeader().machine.value, uint64(2))
}

// TestReplaceOfLiveMemberIsRefused keeps an operator from throwing a good
// copy away.
func TestReplaceOfLiveMemberIsRefused(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.accept(5)
	leader := c.awaitLeader()
	c.run(20)
	answer := c.ask(leader, func(id uint64, answer chan outcome) Msg {
		return request{Msg: Admit{ID: id, Name: c.nodes[0].name, Store: "another"}, id: id, answer: answer}
	})
	got := <-answer
	assert.Assert(t, errors.Is(got.err, ErrMember), "got %v", got.err)
}

// TestPartlyLostDiskIsNoticed removes a group's files but not the identity.
func TestPartlyLostDiskIsNoticed(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.accept(5)
	n := c.nodes[0]
	identity, err := n.disk.Read(identityName)
	assert.NilError(t, err)
	n.disk.Lose()
	assert.NilError(t, n.disk.Replace(identityName, identity))
	reopened, err := OpenIdentity(n.disk)
	assert.NilError(t, err)
	_, err = Open(reopened, "group", &register{cluster: c}, wire{cluster: c, from: n})
	assert.Assert(t, errors.Is(err, ErrDiskLost), "got %v", err)
}

// TestGroupsShareAnIdentity records groups of one disk from many goroutines, as
// when a readmitted keeper joins its groups at the same moment.
func TestGroupsShareAnIdentity(t *testing.T) {
	disk, err := journaler.OpenFolder(t.TempDir())
	assert.NilError(t, err)
	identity, err := OpenIdentity(disk)
	assert.NilError(t, err)
	const groups = 16
	var wait sync.WaitGroup
	for number := range groups {
		wait.Go(func() { assert.Check(t, identity.add(fmt.Sprint("group-", number)) == nil) })
	}
	wait.Wait()
	reopened, err := OpenIdentity(disk)
	assert.NilError(t, err)
	assert.Equal(t, reopened.Store, identity.Store)
	assert.Equal(t, len(reopened.Groups), groups)
}

// ExampleFounding shows what the first members start from.
func ExampleFounding() {
	snapshot := Founding([]Member{{Name: "k1", Store: "a", Voter: true}})
	fmt.Println(snapshot.Index, len(snapshot.Members), binary.Size(snapshot.Data))
	// Output: 1 1 0
}
