package replicator

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/carrier"
)

// StateMachine is the state machine that a group replicates. Its methods are called
// by one goroutine at a time.
type StateMachine interface {
	// Apply executes a committed entry and returns the outcome, which the
	// proposer gets from Propose.
	Apply(index Index, data []byte) any
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state by one that Snapshot encoded.
	Restore(data []byte) error
}

// Transport sends frames to other stores. Frames may be lost.
type Transport interface {
	// Send sends a frame of the named group to a store. The name in to is empty
	// if the store is not a member. Send is called from the group's event loop,
	// so it must not block.
	Send(to Member, group string, frame []byte)
}

// Limits and intervals of a group's event loop.
const (
	inboxSize    = 1024
	tickInterval = 25 * time.Millisecond
	// compactAtBatches is the number of batches at which the log is compacted.
	compactAtBatches = 512
	// compactAtBytes is the size at which the log is compacted. Entries may hold
	// whole documents, which are large, and during compaction the disk holds the
	// old log and the new one, so a small disk needs a low limit.
	compactAtBytes = 8 << 20
	// maxMessagesPerStep is the most messages that share one disk sync.
	maxMessagesPerStep = 64
)

// Group runs a [Model]: it performs the model's commands on a disk, a transport
// and a state machine. Its methods are safe for concurrent use, except RetryWrites,
// which must be called before Run.
type Group struct {
	name      string
	identity  *Identity
	storage   *storage
	model     *Model
	machine   StateMachine
	transport Transport
	inbox     *carrier.Ring[Msg]
	// pending maps the ID of each unanswered request to its answer channel.
	pending map[uint64]chan outcome
	// idsByIndex maps the index of each proposed entry to its request.
	idsByIndex map[Index]uint64
	// termsByID maps each proposal's request to the term of its entry.
	termsByID map[uint64]Term
	// writeRetryInterval is the pause before a failed write is retried; 0 means
	// that a failed write stops the group.
	writeRetryInterval time.Duration

	mu     sync.Mutex
	nextID uint64
	status Status
	// changed is closed and replaced when the applied index, the role or the
	// term changes.
	changed chan struct{}
	// caughtUpTerm and keysInProgress belong to ProposeIf.
	caughtUpTerm   Term
	keysInProgress map[string]bool
}

// outcome is the answer to a request.
type outcome struct {
	result any
	err    error
}

// request is a message with the channel for its answer. The channel has room
// for the answer, so that sending never blocks.
type request struct {
	Msg
	id     uint64
	answer chan outcome
}

// Open reads a group from the identity's disk and applies all entries known to
// be committed to the state machine. Call Run to start the group. The error is
// ErrDiskLost or journaler.ErrCorrupt if the disk's contents cannot be trusted.
func Open(identity *Identity, name string, machine StateMachine, transport Transport, options ...Option) (*Group, error) {
	storage, stored, err := openStorage(identity, name)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if stored.Snapshot.Data != nil {
		if err := machine.Restore(stored.Snapshot.Data); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	group := &Group{
		name:       name,
		identity:   identity,
		storage:    storage,
		model:      New(identity.Store, stored, options...),
		machine:    machine,
		transport:  transport,
		inbox:      carrier.NewRing[Msg](inboxSize),
		pending:    map[uint64]chan outcome{},
		idsByIndex: map[Index]uint64{},
		termsByID:  map[uint64]Term{},
		changed:    make(chan struct{}),
	}
	for _, entry := range group.model.Committed() {
		group.apply(entry)
	}
	group.status = group.model.Status()
	return group, nil
}

// RetryWrites makes the group retry failed writes after each pause instead of
// stopping. Call it before Run.
func (g *Group) RetryWrites(pause time.Duration) {
	g.writeRetryInterval = pause
}

// Run processes messages and ticks until the context ends, when it returns nil,
// or until the disk or the state machine fails. Pending requests then get
// ErrOutcomeUnknown.
func (g *Group) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer g.failPending(ErrOutcomeUnknown)
	for {
		var msgs []Msg
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			msgs = append(msgs, Tick{})
		case msg := <-g.inbox.Items():
			msgs = g.drainInbox(msg)
		}
		if err := g.step(ctx, msgs); err != nil {
			return trace.Wrap(err, "group %s stopped: its disk cannot be trusted", g.name)
		}
	}
}

// drainInbox returns the first message and those that wait in the inbox, up to
// maxMessagesPerStep, so that one disk sync serves them all.
func (g *Group) drainInbox(first Msg) []Msg {
	msgs := []Msg{first}
	for len(msgs) < maxMessagesPerStep {
		select {
		case msg := <-g.inbox.Items():
			msgs = append(msgs, msg)
		default:
			return msgs
		}
	}
	return msgs
}

// step passes messages to the model, persists the resulting records and then
// performs the other commands.
func (g *Group) step(ctx context.Context, msgs []Msg) error {
	var cmds []Cmd
	for _, msg := range msgs {
		if bootstrap, ok := msg.(bootstrapRequest); ok {
			if err := g.bootstrap(bootstrap); err != nil {
				return err
			}
			continue
		}
		cmds = append(cmds, g.update(msg)...)
	}
	if err := g.persistWithRetry(ctx, cmds); err != nil {
		return err
	}
	for _, cmd := range cmds {
		if err := g.perform(cmd); err != nil {
			return err
		}
	}
	g.publishStatus()
	g.compactIfDue()
	return nil
}

// persistWithRetry retries while the disk refuses writes. Nothing is sent
// meanwhile, so the other stores time this one out and go on without it.
func (g *Group) persistWithRetry(ctx context.Context, cmds []Cmd) error {
	err := g.persist(cmds)
	if err == nil || g.writeRetryInterval == 0 {
		return err
	}
	klog.ErrorS(err, "disk refuses writes: this store pauses", "group", g.name)
	since := time.Now()
	for err != nil {
		select {
		case <-ctx.Done():
			return trace.Wrap(err)
		case <-time.After(g.writeRetryInterval):
		}
		if err = g.storage.journal.Repair(); err == nil {
			err = g.persist(cmds)
		}
	}
	klog.InfoS("disk takes writes again", "group", g.name, "paused", time.Since(since))
	return nil
}

// update passes a message to the model. For a request it first registers the
// answer channel.
func (g *Group) update(msg Msg) []Cmd {
	if request, ok := msg.(request); ok {
		g.pending[request.id] = request.answer
		msg = request.Msg
	}
	return g.model.Update(g.model.clock(), msg)
}

// persist writes and syncs the records of all commands as one batch. If they
// include a snapshot from the leader, the whole state replaces what the disk
// held.
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
		return g.storage.compact(g.model.PersistedState())
	}
	if len(records) == 0 {
		return nil
	}
	return g.storage.appendRecords(records)
}

// perform executes a command other than Persist, which step has already handled.
func (g *Group) perform(cmd Cmd) error {
	switch cmd := cmd.(type) {
	case Send:
		g.sendMessage(cmd.Message)
	case Apply:
		for _, entry := range cmd.Entries {
			g.apply(entry)
		}
	case Restore:
		g.failPending(ErrOutcomeUnknown)
		return trace.Wrap(g.machine.Restore(cmd.Snapshot.Data))
	case Proposed:
		g.trackProposal(cmd)
	case ReadReady:
		g.answer(cmd.ID, outcome{err: cmd.Err})
	}
	return nil
}

// apply applies a committed entry and answers the request that proposed it. If the
// entry at that index has another term, the proposed one was overwritten and its
// request gets ErrOutcomeUnknown.
func (g *Group) apply(entry Entry) {
	var result any
	if entry.Kind == KindData {
		result = g.machine.Apply(entry.Index, entry.Data)
	}
	id, proposedHere := g.idsByIndex[entry.Index]
	if !proposedHere {
		return
	}
	delete(g.idsByIndex, entry.Index)
	if g.termsByID[id] != entry.Term {
		g.answer(id, outcome{err: ErrOutcomeUnknown})
		return
	}
	g.answer(id, outcome{result: result})
}

// trackProposal remembers which request proposed the entry at an index. An earlier
// request for the same index gets ErrOutcomeUnknown.
func (g *Group) trackProposal(cmd Proposed) {
	if cmd.Err != nil {
		g.answer(cmd.ID, outcome{err: cmd.Err})
		return
	}
	if old, taken := g.idsByIndex[cmd.Index]; taken {
		g.answer(old, outcome{err: ErrOutcomeUnknown})
	}
	g.idsByIndex[cmd.Index] = cmd.ID
	g.termsByID[cmd.ID] = cmd.Term
}

// answer answers a request, if it is still pending, and forgets it.
func (g *Group) answer(id uint64, result outcome) {
	if answer, pending := g.pending[id]; pending {
		answer <- result
		delete(g.pending, id)
	}
	delete(g.termsByID, id)
}

// failPending answers all pending requests with an error.
func (g *Group) failPending(err error) {
	for id := range g.pending {
		g.answer(id, outcome{err: err})
	}
	clear(g.idsByIndex)
}

// sendMessage encodes a message and gives it to the transport.
func (g *Group) sendMessage(message Message) {
	frame, err := cbor.Marshal(message)
	if err != nil {
		klog.ErrorS(err, "could not encode message to another store; message dropped", "group", g.name)
		return
	}
	members, _ := g.model.log.members()
	for _, member := range members {
		if member.Store == message.To {
			g.transport.Send(member, g.name, frame)
			return
		}
	}
	g.transport.Send(Member{Store: message.To}, g.name, frame)
}

// publishStatus updates the status that callers see, and closes the changed channel
// if the applied index, the role or the term has changed.
func (g *Group) publishStatus() {
	status := g.model.Status()
	g.mu.Lock()
	defer g.mu.Unlock()
	notify := status.Applied != g.status.Applied || status.Role != g.status.Role || status.Term != g.status.Term
	g.status = status
	if notify {
		close(g.changed)
		g.changed = make(chan struct{})
	}
}

// compactIfDue replaces the log by a snapshot when it has reached its limit. If
// the snapshot cannot be written, the old log stays and the next attempt follows
// the next applied entries.
func (g *Group) compactIfDue() {
	size, batches := g.storage.journal.Size()
	appliedIndex := g.model.appliedIndex
	due := batches >= compactAtBatches || size >= compactAtBytes
	if !due || appliedIndex <= g.model.log.snapshot.Index {
		return
	}
	data, err := g.machine.Snapshot()
	if err != nil {
		klog.ErrorS(err, "could not encode state machine; log not compacted", "group", g.name)
		return
	}
	g.model.Update(g.model.clock(), Compacted{Snapshot: g.model.Snapshot(data)})
	if err := g.storage.compact(g.model.PersistedState()); err != nil {
		klog.ErrorS(err, "could not write snapshot; log not compacted", "group", g.name)
	}
}
