package replicator

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/imitator"
)

// cluster runs real groups on fake disks, a fake network and a fake clock, in
// one goroutine and from one seed.
type cluster struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	nodes   []*node
	network []packet
	// chaos makes the network lose, delay, double and reorder packets.
	chaos bool
	// applied is what any node applied at each index, to compare all with.
	applied map[Index]string
	nextID  uint64
	// target is how many voters the leaders aim at; 0 leaves it to operators.
	target int
}

// node is one store's process.
type node struct {
	name     string
	disk     *imitator.Disk
	identity *Identity
	group    *Group
	machine  *register
	isolated bool
	down     bool
}

type packet struct {
	to    string
	frame []byte
	at    time.Time
	from  string
}

// register is a state machine that keeps the last value and a hash of all.
type register struct {
	cluster *cluster
	value   uint64
	digest  uint64
	index   Index
}

func (r *register) Apply(index Index, data []byte) any {
	text := string(data)
	if other, known := r.cluster.applied[index]; known {
		assert.Equal(r.cluster.t, text, other, "two nodes applied different entries at %d", index)
	}
	r.cluster.applied[index] = text
	assert.Assert(r.cluster.t, index > r.index, "index %d applied after %d", index, r.index)
	r.index = index
	old := r.value
	r.value = binary.BigEndian.Uint64(data)
	r.digest = r.digest*31 + r.value
	return old
}

func (r *register) Snapshot() ([]byte, error) {
	data := binary.BigEndian.AppendUint64(nil, r.value)
	data = binary.BigEndian.AppendUint64(data, r.digest)
	return binary.BigEndian.AppendUint64(data, uint64(r.index)), nil
}

func (r *register) Restore(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	r.value = binary.BigEndian.Uint64(data)
	r.digest = binary.BigEndian.Uint64(data[8:])
	r.index = Index(binary.BigEndian.Uint64(data[16:]))
	return nil
}

// Carry implements Transport for one node.
type wire struct {
	cluster *cluster
	from    *node
}

func (w wire) Carry(to Member, _ string, frame []byte) {
	c := w.cluster
	name := to.Name
	if name == "" {
		name = c.nameOf(to.Store)
	}
	copies := 1
	delay := time.Millisecond
	if c.chaos {
		copies = []int{0, 1, 1, 1, 1, 1, 1, 2}[c.random.IntN(8)]
		delay = time.Duration(c.random.IntN(120)) * time.Millisecond
	}
	for range copies {
		c.network = append(c.network, packet{to: name, from: w.from.name, frame: frame, at: c.now.Add(delay)})
	}
}

func (c *cluster) nameOf(store StoreID) string {
	for _, n := range c.nodes {
		if n.identity.Store == store {
			return n.name
		}
	}
	return ""
}

func newCluster(t *testing.T, seed uint64, size int) *cluster {
	c := &cluster{
		t: t, random: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1_000_000, 0),
		applied: map[Index]string{},
	}
	var members []Member
	for i := range size {
		n := &node{name: fmt.Sprintf("k%d", i), disk: imitator.NewDisk(seed + uint64(i))}
		c.nodes = append(c.nodes, n)
		c.start(n)
		members = append(members, Member{Name: n.name, Store: n.identity.Store, Voter: true})
	}
	for _, n := range c.nodes {
		c.ask(n, func(id uint64, answer chan outcome) Msg {
			return founding{request: request{id: id, answer: answer}, members: members}
		})
	}
	return c
}

// start opens a node from its disk, as a process does.
func (c *cluster) start(n *node) {
	n.disk.Restart()
	identity, err := OpenIdentity(n.disk)
	assert.NilError(c.t, err)
	n.identity = identity
	n.machine = &register{cluster: c}
	n.group, err = Open(identity, "group", n.machine, wire{cluster: c, from: n},
		WithClock(func() time.Time { return c.now }), WithSeed(c.random.Uint64()), WithVoters(c.target))
	assert.NilError(c.t, err)
	n.down = false
}

// step feeds messages to a node; a crash of its disk takes the node down.
func (c *cluster) step(n *node, msgs ...Msg) {
	if n.down {
		return
	}
	if err := n.group.step(c.t.Context(), msgs); err != nil || n.disk.Crashed() {
		n.disk.Crash()
		n.down = true
		n.group.failAll(ErrLost)
	}
}

func (c *cluster) ask(n *node, msg func(id uint64, answer chan outcome) Msg) chan outcome {
	c.nextID++
	answer := make(chan outcome, 1)
	c.step(n, msg(c.nextID, answer))
	return answer
}

func (c *cluster) propose(n *node, value uint64) chan outcome {
	data := binary.BigEndian.AppendUint64(nil, value)
	return c.ask(n, func(id uint64, answer chan outcome) Msg {
		return request{Msg: Propose{ID: id, Data: data}, id: id, answer: answer}
	})
}

func (c *cluster) read(n *node) chan outcome {
	return c.ask(n, func(id uint64, answer chan outcome) Msg {
		return request{Msg: Read{ID: id}, id: id, answer: answer}
	})
}

// tick lets time pass and delivers what is due.
func (c *cluster) tick() {
	c.now = c.now.Add(20 * time.Millisecond)
	var later []packet
	due := c.network
	c.network = nil
	for _, p := range due {
		if p.at.After(c.now) {
			later = append(later, p)
			continue
		}
		c.deliver(p)
	}
	c.network = append(c.network, later...)
	for _, n := range c.nodes {
		c.step(n, Tick{})
	}
}

func (c *cluster) deliver(p packet) {
	to, from := c.node(p.to), c.node(p.from)
	if to == nil || from == nil || to.isolated || from.isolated || to.down {
		return
	}
	assert.NilError(c.t, to.group.Deliver(p.frame))
	c.step(to, <-to.group.inbox.Items())
}

func (c *cluster) node(name string) *node {
	for _, n := range c.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (c *cluster) run(ticks int) {
	for range ticks {
		c.tick()
	}
}

// leader returns the node that leads with a quorum's consent, if one does.
func (c *cluster) leader() *node {
	var leading *node
	for _, n := range c.nodes {
		if n.down || n.isolated || n.group.model.role != Leader {
			continue
		}
		if leading == nil || n.group.model.state.Term > leading.group.model.state.Term {
			leading = n
		}
	}
	return leading
}

// awaitLeader runs until there is a leader whose term has an accepted entry.
func (c *cluster) awaitLeader() *node {
	for range 500 {
		if n := c.leader(); n != nil && n.group.model.settled() {
			return n
		}
		c.tick()
	}
	for _, n := range c.nodes {
		c.t.Logf("%s down %t isolated %t: %+v", n.name, n.down, n.isolated, n.group.model.Status())
	}
	c.t.Fatal("no leader")
	return nil
}

// accept proposes until a value is accepted.
func (c *cluster) accept(value uint64) {
	for range 20 {
		answer := c.propose(c.awaitLeader(), value)
		for range 100 {
			select {
			case got := <-answer:
				if got.err == nil {
					return
				}
				c.tick()
			default:
				c.tick()
				continue
			}
			break
		}
	}
	c.t.Fatal("not accepted")
}

// heal ends all faults and checks that all nodes reach the same state.
func (c *cluster) heal() {
	c.chaos = false
	for _, n := range c.nodes {
		n.isolated = false
		n.disk.CrashAfter(-1)
		if n.down {
			c.start(n)
		}
	}
	c.accept(1 << 40)
	c.run(200)
	leader := c.awaitLeader()
	for _, n := range c.nodes {
		assert.Equal(c.t, n.machine.index, leader.machine.index, "%s is behind", n.name)
		assert.Equal(c.t, n.machine.digest, leader.machine.digest, "%s differs", n.name)
	}
}
