package replicator

import (
	"math/rand/v2"
	"time"
)

// Role is the role of a store in its term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	Candidate
	Leader
)

// String returns the role's name in lower case.
func (r Role) String() string {
	return [...]string{"follower", "candidate", "leader"}[r]
}

// Default timeouts. Each election timeout is drawn at random between one and
// two times the configured one.
const (
	DefaultElectionTimeout   = 1200 * time.Millisecond
	DefaultHeartbeatInterval = 200 * time.Millisecond
	// maxAppendEntries is the most entries in one append message.
	maxAppendEntries = 256
)

// Model is the protocol state of one store in one group. It is not safe for
// concurrent use.
type Model struct {
	id                StoreID
	random            *rand.Rand
	clock             func() time.Time
	electionTimeout   time.Duration
	heartbeatInterval time.Duration
	// targetVoters is the number of voters that the leader maintains; 0 means
	// that every store gets a vote once it has caught up.
	targetVoters int

	now          time.Time
	role         Role
	leader       StoreID
	hardState    HardState
	log          log
	commitIndex  Index
	appliedIndex Index

	// heardCurrentAt is when a leader last told this store of a commit index that it
	// has reached.
	heardCurrentAt time.Time
	// electionTimerStart is when the election timeout last began: when a leader
	// of this term was heard, this store granted a vote, started an election or
	// stepped down for lack of a quorum.
	electionTimerStart time.Time
	// randomizedTimeout is the current election timeout.
	randomizedTimeout time.Duration
	// grantedVotes holds the voters that have granted this store's current
	// election.
	grantedVotes map[StoreID]bool
	// preVote is true while a candidate asks for pre-votes.
	preVote bool

	progressByStore map[StoreID]*progress
	// round is the number of the leader's last broadcast.
	round         uint64
	lastBroadcast time.Time
	pendingReads  []pendingRead
	// transferTarget is the store to which this leader is transferring its
	// leadership; empty if there is none.
	transferTarget StoreID
	// transferStarted is when the transfer to transferTarget began.
	transferStarted time.Time

	cmds []Cmd
}

// progress is what a leader knows about the log of another member.
type progress struct {
	// nextIndex is the first entry to send next.
	nextIndex Index
	// matchIndex is the last entry known to be synced by the member.
	matchIndex Index
	// round is the newest broadcast that the member has answered.
	round uint64
	// lastContact is when the member last replied in this term or, before its
	// first reply, when the leader began to track it.
	lastContact time.Time
	// lastSnapshotSent is when a snapshot was last sent. The next one waits for
	// an election timeout.
	lastSnapshotSent time.Time
}

// pendingRead is a read that waits until a quorum has answered its round.
type pendingRead struct {
	id    uint64
	index Index
	round uint64
}

// Option configures a [Model].
type Option func(*Model)

// WithElectionTimeout sets the shortest election timeout, and the heartbeat
// interval to a sixth of it.
func WithElectionTimeout(timeout time.Duration) Option {
	return func(m *Model) {
		m.electionTimeout = timeout
		m.heartbeatInterval = timeout / 6
	}
}

// WithTargetVoters makes the leader manage the members: it maintains the given
// number of voters, keeps further stores as standbys without a vote, and lets a
// standby replace a voter that has stopped answering. With 0, the default, every
// admitted store gets a vote once it has caught up, and only Admit replaces
// members.
func WithTargetVoters(targetVoters int) Option {
	return func(m *Model) { m.targetVoters = targetVoters }
}

// WithSeed makes the random election timeouts reproducible.
func WithSeed(seed uint64) Option {
	return func(m *Model) { m.random = rand.New(rand.NewPCG(seed, 0)) }
}

// WithClock sets the function that returns the current time.
func WithClock(clock func() time.Time) Option {
	return func(m *Model) { m.clock = clock }
}

// PersistedState is what a store keeps on its disk: it is read at start and
// written by a compaction.
type PersistedState struct {
	State    HardState
	Snapshot Snapshot
	Entries  []Entry
}

// New returns the model of a store that starts with the state read from its
// disk. Without members, the model waits until the store is bootstrapped or
// admitted.
func New(id StoreID, stored PersistedState, options ...Option) *Model {
	m := &Model{
		id:                id,
		clock:             time.Now,
		electionTimeout:   DefaultElectionTimeout,
		heartbeatInterval: DefaultHeartbeatInterval,
		hardState:         stored.State,
		log:               log{snapshot: stored.Snapshot, entries: stored.Entries},
		commitIndex:       stored.Snapshot.Index,
		appliedIndex:      stored.Snapshot.Index,
		random:            rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, option := range options {
		option(m)
	}
	m.commitIndex = min(max(m.commitIndex, stored.State.Commit), m.log.lastIndex())
	m.appliedIndex = m.commitIndex
	m.now = m.clock()
	m.electionTimerStart = m.now
	m.randomizeTimeout()
	m.randomizedTimeout /= 2 // most likely all stores have just started and there is no leader
	return m
}

// Update processes one message and returns the resulting commands. A time before
// that of an earlier call is ignored.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	if now.After(m.now) {
		m.now = now
	}
	m.cmds = nil
	switch msg := msg.(type) {
	case Tick:
		m.tick()
	case Propose:
		m.propose(msg)
	case Read:
		m.read(msg)
	case Admit:
		m.admit(msg)
	case TransferLeadership:
		m.transferLeadership()
	case Compacted:
		m.log.compact(msg.Snapshot)
	case Received:
		m.handleMessage(msg.Message)
	}
	return m.cmds
}

// Status is a read-only view of a store's protocol state. Commit, Applied and
// Last are the indexes of the last committed, applied and stored entry; First is
// that of the first entry after the snapshot.
type Status struct {
	Store   StoreID
	Role    Role
	Term    Term
	Leader  StoreID
	Commit  Index
	Applied Index
	Last    Index
	First   Index
	Members []Member
	// Confirmed is when the store was last known to have applied every entry that
	// was committed until then; zero if it never was.
	Confirmed time.Time
}

// Status returns the model's current status. Its Members must not be modified.
func (m *Model) Status() Status {
	members, _ := m.log.members()
	return Status{
		Store: m.id, Role: m.role, Term: m.hardState.Term, Leader: m.leader,
		Commit: m.commitIndex, Applied: m.appliedIndex, Last: m.log.lastIndex(),
		First: m.log.snapshot.Index + 1, Members: members, Confirmed: m.confirmedAt(),
	}
}

// Committed returns the entries after the snapshot that are known to be
// committed.
func (m *Model) Committed() []Entry {
	return m.log.slice(m.log.snapshot.Index, m.commitIndex)
}

// Snapshot returns a snapshot of all applied entries. Data is the encoded state
// machine.
func (m *Model) Snapshot(data []byte) Snapshot {
	term, _ := m.log.term(m.appliedIndex)
	return Snapshot{Index: m.appliedIndex, Term: term, Members: m.log.membersAt(m.appliedIndex), Data: data}
}

// PersistedState returns the state that a compaction must write to the disk.
func (m *Model) PersistedState() PersistedState {
	return PersistedState{State: m.hardState, Snapshot: m.log.snapshot, Entries: m.log.entries}
}

func (m *Model) emit(cmd Cmd) {
	m.cmds = append(m.cmds, cmd)
}

// send sends a message from this store, in the current term unless the message has
// a term.
func (m *Model) send(message Message) {
	message.From = m.id
	if message.Term == 0 {
		message.Term = m.hardState.Term
	}
	m.emit(Send{Message: message})
}

func (m *Model) persistHardState() {
	hardState := m.hardState
	m.emit(Persist{State: &hardState})
}

// randomizeTimeout draws a new election timeout between one and two times the
// configured one, so that stores seldom start elections at the same time.
func (m *Model) randomizeTimeout() {
	m.randomizedTimeout = m.electionTimeout + time.Duration(m.random.Int64N(int64(m.electionTimeout)))
}

func (m *Model) tick() {
	if m.role == Leader {
		m.tickLeader()
		return
	}
	if m.now.Sub(m.electionTimerStart) >= m.randomizedTimeout && m.isVoter() {
		m.campaign(true, false)
	}
}

// voters returns the members with a vote, by the newest members in the log.
func (m *Model) voters() []StoreID {
	members, _ := m.log.members()
	var voters []StoreID
	for _, member := range members {
		if member.Voter {
			voters = append(voters, member.Store)
		}
	}
	return voters
}

// isVoter reports whether this store has a vote, by the newest members in the
// log.
func (m *Model) isVoter() bool {
	for _, voter := range m.voters() {
		if voter == m.id {
			return true
		}
	}
	return false
}

// isMember reports whether a store is among the newest members in the log.
func (m *Model) isMember(store StoreID) bool {
	members, _ := m.log.members()
	for _, member := range members {
		if member.Store == store {
			return true
		}
	}
	return false
}

// hasQuorum reports whether the condition holds for more than half of the
// voters.
func (m *Model) hasQuorum(holds func(StoreID) bool) bool {
	voters := m.voters()
	count := 0
	for _, voter := range voters {
		if holds(voter) {
			count++
		}
	}
	return len(voters) > 0 && 2*count > len(voters)
}
