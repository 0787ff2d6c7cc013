package replicator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/carrier"
)

// Machine is the state that a group keeps in agreement. It is called by one
// goroutine at a time.
type Machine interface {
	// Apply performs an accepted entry and returns its outcome.
	Apply(index Index, data []byte) any
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(data []byte) error
}

// Transport carries frames to other stores. It may lose them.
type Transport interface {
	Carry(to Member, group string, frame []byte)
}

// The sizes and times of a group's runtime.
const (
	inboxSize       = 1024
	tickInterval    = 25 * time.Millisecond
	snapshotBatches = 512
	// snapshotBytes bounds the log between two snapshots; whole documents are
	// large, and a small disk holds the old log and the new one at once.
	snapshotBytes = 8 << 20
	maxBatch      = 64
)

// Group runs a model: it performs its commands on a disk, a transport and a
// state machine.
type Group struct {
	name      string
	identity  *Identity
	store     *store
	model     *Model
	machine   Machine
	transport Transport
	inbox     *carrier.Ring[Msg]
	waiting   map[uint64]chan outcome
	byIndex   map[Index]uint64
	terms     map[uint64]Term
	// patience is the pause before a refused write is tried again; 0 gives up.
	patience time.Duration

	mu     sync.Mutex
	nextID uint64
	status Status
	// changed is closed and replaced whenever the status changes.
	changed chan struct{}
}

// outcome answers a proposal or a read.
type outcome struct {
	result any
	err    error
}

// request is a message with the channel that its answer goes to.
type request struct {
	Msg
	id     uint64
	answer chan outcome
}

// founding replaces an empty log by the first members.
type founding struct {
	request
	members []Member
}

// Open reads a group from its disk. Run must be called to start it.
func Open(identity *Identity, name string, machine Machine, transport Transport, options ...Option) (*Group, error) {
	store, stored, err := openStore(identity, name)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if stored.Snapshot.Data != nil {
		if err := machine.Restore(stored.Snapshot.Data); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	group := &Group{
		name:      name,
		identity:  identity,
		store:     store,
		model:     New(identity.Store, stored, options...),
		machine:   machine,
		transport: transport,
		inbox:     carrier.NewRing[Msg](inboxSize),
		waiting:   map[uint64]chan outcome{},
		byIndex:   map[Index]uint64{},
		terms:     map[uint64]Term{},
		changed:   make(chan struct{}),
	}
	for _, entry := range group.model.Accepted() {
		group.apply(entry)
	}
	group.status = group.model.Status()
	return group, nil
}

// Retry makes the group wait out a disk that refuses writes. Call it before
// Run.
func (g *Group) Retry(pause time.Duration) {
	g.patience = pause
}

// Run performs the group's duty until the context ends or the disk fails.
func (g *Group) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer g.failAll(ErrLost)
	for {
		var msgs []Msg
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			msgs = append(msgs, Tick{})
		case msg := <-g.inbox.Items():
			msgs = g.drain(msg)
		}
		if err := g.step(ctx, msgs); err != nil {
			return trace.Wrap(err, "group %s stops: its disk cannot be trusted", g.name)
		}
	}
}

// drain takes more waiting messages, so that one sync serves them all.
func (g *Group) drain(first Msg) []Msg {
	msgs := []Msg{first}
	for len(msgs) < maxBatch {
		select {
		case msg := <-g.inbox.Items():
			msgs = append(msgs, msg)
		default:
			return msgs
		}
	}
	return msgs
}

// step feeds messages to the model, then syncs, then performs the rest.
func (g *Group) step(ctx context.Context, msgs []Msg) error {
	var cmds []Cmd
	for _, msg := range msgs {
		if found, ok := msg.(founding); ok {
			if err := g.found(found); err != nil {
				return err
			}
			continue
		}
		cmds = append(cmds, g.update(msg)...)
	}
	if err := g.persistPatiently(ctx, cmds); err != nil {
		return err
	}
	for _, cmd := range cmds {
		if err := g.perform(cmd); err != nil {
			return err
		}
	}
	g.publish()
	g.maybeCompact()
	return nil
}

// persistPatiently retries while the disk refuses writes. Nothing that depends
// on the records is sent meanwhile, so the other stores see this one as silent
// and go on without it.
func (g *Group) persistPatiently(ctx context.Context, cmds []Cmd) error {
	err := g.persist(cmds)
	if err == nil || g.patience == 0 {
		return err
	}
	klog.ErrorS(err, "disk refuses writes: this store pauses", "group", g.name)
	since := time.Now()
	for err != nil {
		select {
		case <-ctx.Done():
			return trace.Wrap(err)
		case <-time.After(g.patience):
		}
		if err = g.store.journal.Repair(); err == nil {
			err = g.persist(cmds)
		}
	}
	klog.InfoS("disk takes writes again", "group", g.name, "paused", time.Since(since))
	return nil
}

func (g *Group) update(msg Msg) []Cmd {
	if request, ok := msg.(request); ok {
		g.waiting[request.id] = request.answer
		msg = request.Msg
	}
	return g.model.Update(g.model.clock(), msg)
}

// persist syncs all records of the commands in one write. A snapshot from the
// leader replaces what the disk held.
func (g *Group) persist(cmds []Cmd) error {
	var records []Persist
	replaced := false
	for _, cmd := range cmds {
		record, ok := cmd.(Persist)
		if !ok {
			continue
		}
		replaced = replaced || record.Snapshot != nil
		records = append(records, record)
	}
	if replaced {
		return g.store.compact(g.model.Stored())
	}
	if len(records) == 0 {
		return nil
	}
	return g.store.keep(records)
}

func (g *Group) perform(cmd Cmd) error {
	switch cmd := cmd.(type) {
	case Send:
		g.carry(cmd.Message)
	case Apply:
		for _, entry := range cmd.Entries {
			g.apply(entry)
		}
	case Restore:
		g.failAll(ErrLost)
		return trace.Wrap(g.machine.Restore(cmd.Snapshot.Data))
	case Proposed:
		g.proposed(cmd)
	case ReadReady:
		g.answer(cmd.ID, outcome{err: cmd.Err})
	}
	return nil
}

func (g *Group) apply(entry Entry) {
	var result any
	if entry.Kind == KindData {
		result = g.machine.Apply(entry.Index, entry.Data)
	}
	id, mine := g.byIndex[entry.Index]
	if !mine {
		return
	}
	delete(g.byIndex, entry.Index)
	if g.terms[id] != entry.Term {
		g.answer(id, outcome{err: ErrLost})
		return
	}
	g.answer(id, outcome{result: result})
}

func (g *Group) proposed(cmd Proposed) {
	if cmd.Err != nil {
		g.answer(cmd.ID, outcome{err: cmd.Err})
		return
	}
	if old, taken := g.byIndex[cmd.Index]; taken {
		g.answer(old, outcome{err: ErrLost})
	}
	g.byIndex[cmd.Index] = cmd.ID
	g.terms[cmd.ID] = cmd.Term
}

func (g *Group) answer(id uint64, result outcome) {
	if answer, waiting := g.waiting[id]; waiting {
		answer <- result
		delete(g.waiting, id)
	}
	delete(g.terms, id)
}

func (g *Group) failAll(err error) {
	for id := range g.waiting {
		g.answer(id, outcome{err: err})
	}
	clear(g.byIndex)
}

func (g *Group) carry(message Message) {
	frame, err := cbor.Marshal(message)
	if err != nil {
		klog.ErrorS(err, "message not encoded", "group", g.name)
		return
	}
	members, _ := g.model.log.members()
	for _, member := range members {
		if member.Store == message.To {
			g.transport.Carry(member, g.name, frame)
			return
		}
	}
	g.transport.Carry(Member{Store: message.To}, g.name, frame)
}

func (g *Group) publish() {
	status := g.model.Status()
	g.mu.Lock()
	defer g.mu.Unlock()
	moved := status.Applied != g.status.Applied || status.Role != g.status.Role || status.Term != g.status.Term
	g.status = status
	if moved {
		close(g.changed)
		g.changed = make(chan struct{})
	}
}

// maybeCompact keeps the log bounded. When the disk refuses the snapshot the
// old log stays, and the next try comes with the next batch.
func (g *Group) maybeCompact() {
	size, batches := g.store.journal.Size()
	applied := g.model.applied
	due := batches >= snapshotBatches || size >= snapshotBytes
	if !due || applied <= g.model.log.snapshot.Index {
		return
	}
	data, err := g.machine.Snapshot()
	if err != nil {
		klog.ErrorS(err, "state not encoded: the log grows on", "group", g.name)
		return
	}
	g.model.Update(g.model.clock(), Compacted{Snapshot: g.model.Snapshot(data)})
	if err := g.store.compact(g.model.Stored()); err != nil {
		klog.ErrorS(err, "snapshot not written: the log grows on", "group", g.name)
	}
}

func (g *Group) found(found founding) error {
	g.waiting[found.id] = found.answer
	if members := g.model.Status().Members; len(members) > 0 {
		g.answer(found.id, outcome{err: alreadyFounded(g.name, members, found.members)})
		return nil
	}
	stored := Stored{Snapshot: Founding(found.members)}
	if err := g.store.compact(stored); err != nil {
		return err
	}
	g.model.log.compact(stored.Snapshot)
	g.model.commit = stored.Snapshot.Index
	g.model.applied = stored.Snapshot.Index
	g.answer(found.id, outcome{})
	return nil
}

// alreadyFounded lets the same founding be sent twice.
func alreadyFounded(group string, members, again []Member) error {
	if slices.Equal(members, again) {
		return nil
	}
	return trace.AlreadyExists("group %s has other members already", group)
}
